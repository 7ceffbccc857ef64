package io.cherryspool.controller.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.Outcome;
import io.cherryspool.recovery.ClusterNode;
import io.cherryspool.recovery.Peer;
import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.recovery.SnapshotRepository;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * What operators ask about lost state, and what they decide. Any node answers; a decision is one
 * conditional write, and is refused with a reason where it would be wrong.
 */
public final class RecoveryApi {
  /** What the paths of all these requests begin with. */
  public static final String PATH = "/recovery/";

  private static final int COME_BACK_S = 1;

  private final ClusterNode node;
  private final Recovery recovery;
  private final ClusterRecords replica;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final SnapshotWriter snapshots;

  /**
   * @param snapshots null if none are taken
   */
  RecoveryApi(
      ClusterNode node,
      Recovery recovery,
      ClusterRecords replica,
      StateStoreClient client,
      RateLimiter rateLimiter,
      SnapshotWriter snapshots) {
    this.node = node;
    this.recovery = recovery;
    this.replica = replica;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.snapshots = snapshots;
  }

  CompletableFuture<Reply> handle(Request request) {
    String call = request.method() + " " + request.path().substring(PATH.length());
    return switch (call) {
      case "GET status" -> now(json(200, status()));
      case "GET held" -> held();
      case "POST resolve" -> resolve(request.body());
      default -> now(error(404, "no such thing"));
    };
  }

  private ObjectNode status() {
    RetainedRecords memory = recovery.retainedRecords();
    ObjectNode root = Json.object().put("node", node.name());
    root.put("phase", name(memory.phase()));
    root.put("incarnation", memory.position().incarnationNumber());
    root.put("revision", memory.position().revision());
    root.put("settled", recovery.isServing() && replica.isReconciled());
    root.put("foreign_cluster", recovery.statistics().hasFoundOtherCluster());
    root.put("losses", recovery.statistics().losses());
    if (recovery.statistics().lastLoss() != null) {
      root.put("last_loss", recovery.statistics().lastLoss().name().toLowerCase(Locale.ROOT));
    }
    root.put("rebuilds", recovery.statistics().rebuilds());
    root.put("added_after_rebuild", recovery.statistics().addedRecords());
    root.put("last_hold_s", recovery.statistics().lastHold().toMillis() / 1e3);
    root.put("jobs_held", replica.heldJobs().size());
    root.put("jobs_unknown", replica.unknownJobs().size());
    ArrayNode peers = root.putArray("peers");
    for (Peer peer : node.peers()) {
      peers
          .addObject()
          .put("node", peer.node())
          .put("phase", name(peer.retainedRecords().phase()))
          .put("incarnation", peer.retainedRecords().position().incarnationNumber())
          .put("revision", peer.retainedRecords().position().revision())
          .put("reaches_state", peer.isStateStoreReachable());
    }
    root.set("snapshot", snapshot());
    return root;
  }

  private JsonNode snapshot() {
    SnapshotRepository.WriteResult last = snapshots == null ? null : snapshots.lastResult();
    if (last == null) {
      return Json.object().put("taken", false);
    }
    ObjectNode result = Json.object().put("taken", last.failure() == null);
    result.put("name", last.name()).put("bytes", last.bytes());
    result.put("took_ms", last.durationNanos() / 1e6).put("age_s", snapshots.ageSeconds());
    if (last.failure() != null) {
      result.put("failure", last.failure());
    }
    return result;
  }

  private static String name(RetainedRecords.Phase phase) {
    return phase.name().toLowerCase(Locale.ROOT);
  }

  private CompletableFuture<Reply> held() {
    return replica
        .refresh()
        .thenApply(
            nothing -> {
              ObjectNode root = Json.object();
              ArrayNode held = root.putArray("held");
              replica.heldJobs().stream().sorted().forEach(id -> describe(id, held.addObject()));
              ArrayNode unknown = root.putArray("unknown");
              replica.unknownJobs().stream().sorted().forEach(unknown::add);
              return json(200, root);
            })
        .exceptionally(failure -> later());
  }

  private void describe(String id, ObjectNode item) {
    item.put("job", id);
    JobRecord entry = replica.job(id);
    if (entry != null) {
      item.put("class", entry.job().jobClass()).put("team", entry.job().team());
      item.put("tasks", entry.job().taskCount());
      item.put("done", entry.doneCount()).put("running", entry.ownedCount());
    }
  }

  private CompletableFuture<Reply> resolve(byte[] body) {
    String id;
    String decision;
    try {
      JsonNode node = Json.parseObject(body);
      id = node.path("job").asText();
      decision = node.path("decision").asText();
    } catch (MalformedMessageException e) {
      return now(error(400, e.getMessage()));
    }
    boolean repeat = decision.equals("repeat");
    if (!UserProtocol.isJobId(id) || !repeat && !decision.equals("abandon")) {
      return now(error(400, "job must be a job's id, and decision repeat or abandon"));
    }
    return replica
        .refresh()
        .thenCompose(nothing -> repeat ? repeat(id) : abandon(id))
        .exceptionally(failure -> later());
  }

  private CompletableFuture<Reply> repeat(String id) {
    if (replica.isUnknownJob(id) && replica.job(id) == null) {
      return now(
          error(409, "nobody has described job " + id + "; its user must submit it once more"));
    }
    if (!replica.heldJobs().contains(id)) {
      return now(notHeld(id));
    }
    return commit(
        Map.of(Records.outcomeKey(id), 0L),
        List.of(new StateStoreProtocol.Change(Records.heldJobKey(id), null, 0)),
        "job " + id + " runs again where its tasks did not report");
  }

  private CompletableFuture<Reply> abandon(String id) {
    if (replica.isUnknownJob(id) && replica.job(id) == null) {
      return commit(
          Map.of(Records.jobKey(id), 0L),
          List.of(
              new StateStoreProtocol.Change(
                  Records.unknownJobKey(id), Records.abandonedMarker(), 0)),
          "tasks of job " + id + " are stopped; questions for it are answered 404");
    }
    if (!replica.heldJobs().contains(id)) {
      return now(notHeld(id));
    }
    return commit(
        Map.of(Records.outcomeKey(id), 0L),
        List.of(
            new StateStoreProtocol.Change(
                Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0),
            new StateStoreProtocol.Change(Records.heldJobKey(id), null, 0)),
        "job " + id + " is cancelled");
  }

  private Reply notHeld(String id) {
    JobRecord entry = replica.job(id);
    String state =
        entry == null ? "is not known" : entry.outcome() == null ? "is not held" : "has ended";
    return error(409, "job " + id + " " + state);
  }

  private CompletableFuture<Reply> commit(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes, String done) {
    rateLimiter.forceAcquire(changes.size());
    return client
        .commit(conditions, changes)
        .thenApply(
            result ->
                result.applied()
                    ? json(200, Json.object().put("result", done))
                    : error(409, "the job has changed meanwhile; look at it once more"));
  }

  private static Reply error(int status, String why) {
    return Reply.json(status, UserProtocol.encodeError(why));
  }

  private static Reply later() {
    return Reply.withRetryAfter(
        503, UserProtocol.encodeError("the records can't be read now"), COME_BACK_S);
  }

  private static Reply json(int status, JsonNode body) {
    return Reply.json(status, Json.toBytes(body));
  }

  private static CompletableFuture<Reply> now(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
