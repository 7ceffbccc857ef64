package io.cherryspool.controller.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.controller.election.StateStoreAccess;
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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Answers operators' requests about lost records, and carries out their decisions. Every node can
 * do so: a decision is one compare-and-swap transaction. A decision that doesn't fit the state of
 * the job is refused, and the answer contains the reason.
 */
public final class RecoveryApi {
  /** The prefix of the paths of all requests to this API. */
  public static final String PATH = "/recovery/";

  private static final int RETRY_AFTER_SECONDS = 1;

  private final ClusterNode node;
  private final Recovery recovery;
  private final ClusterRecords records;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Optional<SnapshotWriter> snapshots;

  /**
   * Creates the API.
   *
   * @param snapshots writes the node's snapshots; empty if none are taken
   */
  RecoveryApi(
      ClusterNode node,
      Recovery recovery,
      StateStoreAccess stateStore,
      Optional<SnapshotWriter> snapshots) {
    this.node = node;
    this.recovery = recovery;
    this.records = stateStore.records();
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.snapshots = snapshots;
  }

  /** Answers a request whose path begins with {@link #PATH}. */
  CompletableFuture<Reply> handle(Request request) {
    String call = request.method() + " " + request.path().substring(PATH.length());
    return switch (call) {
      case "GET status" -> completed(json(200, status()));
      case "GET held" -> listHeldJobs();
      case "POST resolve" -> resolve(request.body());
      default -> completed(error(404, "no such thing"));
    };
  }

  private ObjectNode status() {
    RetainedRecords retained = recovery.retainedRecords();
    ObjectNode root = Json.object().put("node", node.name());
    root.put("phase", name(retained.phase()));
    root.put("incarnation", retained.position().incarnationNumber());
    root.put("revision", retained.position().revision());
    root.put("settled", recovery.isServing() && records.isReconciled());
    root.put("foreign_cluster", recovery.statistics().hasFoundOtherCluster());
    root.put("losses", recovery.statistics().losses());
    if (recovery.statistics().lastLoss().isPresent()) {
      root.put("last_loss", recovery.statistics().lastLoss().get().name().toLowerCase(Locale.ROOT));
    }
    root.put("rebuilds", recovery.statistics().rebuilds());
    root.put("added_after_rebuild", recovery.statistics().addedRecords());
    root.put("last_hold_s", recovery.statistics().lastHold().toMillis() / 1e3);
    root.put("jobs_held", records.heldJobs().size());
    root.put("jobs_unknown", records.unknownJobs().size());
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
    root.set("snapshot", describeSnapshot());
    return root;
  }

  private JsonNode describeSnapshot() {
    SnapshotRepository.WriteResult last =
        snapshots.flatMap(SnapshotWriter::lastResult).orElse(null);
    if (last == null) {
      return Json.object().put("taken", false);
    }
    ObjectNode result = Json.object().put("taken", last.failure().isEmpty());
    result.put("name", last.name()).put("bytes", last.bytes());
    result.put("took_ms", last.durationNanos() / 1e6).put("age_s", snapshots.get().ageSeconds());
    if (last.failure().isPresent()) {
      result.put("failure", last.failure().get());
    }
    return result;
  }

  private static String name(RetainedRecords.Phase phase) {
    return phase.name().toLowerCase(Locale.ROOT);
  }

  private CompletableFuture<Reply> listHeldJobs() {
    return records
        .refresh()
        .thenApply(
            nothing -> {
              ObjectNode root = Json.object();
              ArrayNode held = root.putArray("held");
              records.heldJobs().stream().sorted().forEach(id -> describe(id, held.addObject()));
              ArrayNode unknown = root.putArray("unknown");
              records.unknownJobs().stream().sorted().forEach(unknown::add);
              return json(200, root);
            })
        .exceptionally(failure -> retryLater());
  }

  private void describe(String id, ObjectNode item) {
    item.put("job", id);
    JobRecord job = records.job(id);
    if (job != null) {
      item.put("class", job.job().jobClass()).put("team", job.job().team());
      item.put("tasks", job.job().taskCount());
      item.put("done", job.doneCount()).put("running", job.ownedCount());
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
      return completed(error(400, e.getMessage()));
    }
    boolean isRepeat = decision.equals("repeat");
    if (!UserProtocol.isJobId(id) || (!isRepeat && !decision.equals("abandon"))) {
      return completed(error(400, "job must be a job's id, and decision repeat or abandon"));
    }
    return records
        .refresh()
        .thenCompose(nothing -> isRepeat ? repeat(id) : abandon(id))
        .exceptionally(failure -> retryLater());
  }

  /** Releases a held job. Its tasks that no worker has reported run again. */
  private CompletableFuture<Reply> repeat(String id) {
    if (records.isUnknownJob(id) && records.job(id) == null) {
      return completed(
          error(409, "nobody has described job " + id + "; its user must submit it once more"));
    }
    if (!records.heldJobs().contains(id)) {
      return completed(notHeld(id));
    }
    return commit(
        Map.of(Records.outcomeKey(id), 0L),
        List.of(new StateStoreProtocol.Change(Records.heldJobKey(id), null, 0)),
        "job " + id + " runs again where its tasks did not report");
  }

  /** Cancels a held job, or stops the tasks of a job whose description was lost. */
  private CompletableFuture<Reply> abandon(String id) {
    if (records.isUnknownJob(id) && records.job(id) == null) {
      return commit(
          Map.of(Records.jobKey(id), 0L),
          List.of(
              new StateStoreProtocol.Change(
                  Records.unknownJobKey(id), Records.abandonedMarker(), 0)),
          "tasks of job " + id + " are stopped; questions for it are answered 404");
    }
    if (!records.heldJobs().contains(id)) {
      return completed(notHeld(id));
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
    JobRecord job = records.job(id);
    String state =
        job == null ? "is not known" : job.outcome() == null ? "is not held" : "has ended";
    return error(409, "job " + id + " " + state);
  }

  private CompletableFuture<Reply> commit(
      Map<String, Long> conditions, List<StateStoreProtocol.Change> changes, String resultText) {
    rateLimiter.forceAcquire(changes.size());
    return client
        .commit(conditions, changes)
        .thenApply(
            result ->
                result.isApplied()
                    ? json(200, Json.object().put("result", resultText))
                    : error(409, "the job has changed meanwhile; look at it once more"));
  }

  private static Reply error(int status, String message) {
    return Reply.json(status, UserProtocol.encodeError(message));
  }

  private static Reply retryLater() {
    return Reply.withRetryAfter(
        503, UserProtocol.encodeError("the records can't be read now"), RETRY_AFTER_SECONDS);
  }

  private static Reply json(int status, JsonNode body) {
    return Reply.json(status, Json.toBytes(body));
  }

  private static CompletableFuture<Reply> completed(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
