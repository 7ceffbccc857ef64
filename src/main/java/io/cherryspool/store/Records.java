package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import java.time.Instant;
import java.util.Base64;

/** The keys and values under which the service keeps its state. */
public final class Records {
  public static final String PREFIX = "c/";
  public static final String TERM = "c/term";
  public static final String LEADER = "c/leader";
  public static final String SUCCESSOR = "c/successor";
  public static final String CATALOG = "c/catalog";

  /** Parts of the picture that a rebuild wrote; never changed. */
  public static final String BUNDLES = "c/bundles/";

  /** Present once a leader has taken in what ran when the state was lost. */
  public static final String RECONCILED = "c/settled";

  /** Jobs that workers report and that nobody has described since the state was lost. */
  static final String UNKNOWN = "c/unknown/";

  /** Jobs that wait for an operator, since their tasks may have ended unseen. */
  static final String HELD = "c/held/";

  static final String JOBS = "c/jobs/";
  static final String OUTCOMES = "c/outcomes/";
  static final String PROGRESS = "c/progress/";

  /** An owned task with its history takes about this much, with the longest machine names seen. */
  private static final int BYTES_PER_TASK = 80;

  private static final String ABANDONED = "abandoned";

  private static final int BUNDLE_OVERHEAD = 32;

  private Records() {}

  /** Who leads: the process, not only the node, since a restarted node is another process. */
  public record Leader(long term, String node, String processId, long leaseId) {}

  /** Whom the leader of the term has made way for, and who that leader was. */
  public record Successor(long term, String node, String predecessor) {}

  public static String jobKey(String id) {
    return JOBS + id;
  }

  public static String outcomeKey(String id) {
    return OUTCOMES + id;
  }

  public static String progressKey(String id, int shard) {
    return PROGRESS + id + "/" + shard;
  }

  /** A part of a rebuilt picture; keys in their order are parts in their order. */
  public static String bundleKey(int number) {
    return String.format("%s%08d", BUNDLES, number);
  }

  /** The note that workers report a job which nobody has described. */
  public static String unknownJobKey(String id) {
    return UNKNOWN + id;
  }

  /** The note that the job waits for an operator. */
  public static String heldJobKey(String id) {
    return HELD + id;
  }

  /** Whether a record with this key is never removed nor written again. */
  public static boolean isImmutable(String key) {
    return key.startsWith(JOBS) || key.startsWith(OUTCOMES) || key.startsWith(BUNDLES);
  }

  /** How many tasks one progress record may cover within the service's limit on a value. */
  public static int tasksPerShard(int valueBytes) {
    return Math.max(1, valueBytes / BYTES_PER_TASK);
  }

  public static JsonNode encodeBundle(byte[] chunk) {
    return Json.object().put("z", Base64.getEncoder().encodeToString(chunk));
  }

  static byte[] decodeBundle(JsonNode node) throws MalformedMessageException {
    try {
      return Base64.getDecoder().decode(node.path("z").asText());
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("a bundle that is not Base64");
    }
  }

  /** The largest chunk whose bundle surely fits within the service's limit on a value. */
  public static int maxChunkBytes(int valueBytes) {
    return (valueBytes - BUNDLE_OVERHEAD) / 4 * 3;
  }

  /** A record that only has to be there. */
  public static JsonNode presenceMarker() {
    return Json.object();
  }

  /** The note of an unknown job that an operator has given up. */
  public static JsonNode abandonedMarker() {
    return Json.object().put(ABANDONED, true);
  }

  static boolean isAbandoned(JsonNode node) {
    return node.path(ABANDONED).asBoolean(false);
  }

  public static JsonNode encodeTerm(long term) {
    return Json.object().put("term", term);
  }

  static long decodeTerm(JsonNode node) {
    return node.path("term").longValue();
  }

  public static JsonNode encodeLeader(Leader leader) {
    return Json.object()
        .put("term", leader.term())
        .put("node", leader.node())
        .put("instance", leader.processId())
        .put("lease", leader.leaseId());
  }

  static Leader decodeLeader(JsonNode node) {
    return new Leader(
        node.path("term").longValue(),
        node.path("node").asText(),
        node.path("instance").asText(),
        node.path("lease").longValue());
  }

  public static JsonNode encodeSuccessor(Successor successor) {
    return Json.object()
        .put("term", successor.term())
        .put("node", successor.node())
        .put("by", successor.predecessor());
  }

  static Successor decodeSuccessor(JsonNode node) {
    return new Successor(
        node.path("term").longValue(), node.path("node").asText(), node.path("by").asText());
  }

  public static JsonNode encodeJob(Job job, int tasksPerShard) {
    ObjectNode node = Json.object();
    node.set("job", UserProtocol.encodeJob(job));
    node.put("at", job.submittedAt().toEpochMilli());
    node.put("per", tasksPerShard);
    return node;
  }

  static Job decodeJob(JsonNode node) throws MalformedMessageException {
    return UserProtocol.parseJob(
        node.path("job"), Instant.ofEpochMilli(node.path("at").longValue()));
  }

  static int decodeTasksPerShard(JsonNode node) {
    return Math.max(1, node.path("per").intValue());
  }

  public static JsonNode encodeOutcome(Outcome outcome) {
    return Json.object().put("end", outcome == Outcome.DONE ? "done" : "cancelled");
  }

  static Outcome decodeOutcome(JsonNode node) {
    return "done".equals(node.path("end").asText()) ? Outcome.DONE : Outcome.CANCELLED;
  }

  public static JsonNode encodeShard(Shard shard) {
    ObjectNode node = Json.object();
    ArrayNode done = node.putArray("done");
    for (int first = shard.nextDone(0); first >= 0; ) {
      int end = shard.nextNotDone(first);
      done.add(first).add(end - 1);
      first = shard.nextDone(end);
    }
    ArrayNode owned = node.putArray("owned");
    for (Attempt attempt : shard.ownedAttempts().values()) {
      owned
          .addArray()
          .add(attempt.taskIndex())
          .add(attempt.machine())
          .add(attempt.agentEpoch())
          .add(attempt.number())
          .add(attempt.fencingToken());
    }
    ArrayNode history = node.putArray("past");
    shard
        .histories()
        .int2ObjectEntrySet()
        .forEach(
            entry ->
                history
                    .addArray()
                    .add(entry.getIntKey())
                    .add(entry.getValue().attempts())
                    .add(entry.getValue().failures()));
    return node;
  }

  /** At most so many bytes of JSON, without writing it. */
  public static int maxEncodedBytes(Shard shard) {
    int bytes = 40 + shard.histories().size() * 24;
    for (Attempt attempt : shard.ownedAttempts().values()) {
      bytes += attempt.machine().length() + 52;
    }
    int ranges = 0;
    for (int first = shard.nextDone(0); first >= 0; ranges++) {
      first = shard.nextDone(shard.nextNotDone(first));
    }
    return bytes + ranges * 14;
  }

  static Shard decodeShard(JsonNode node) {
    Shard.Editor editor = Shard.EMPTY.edit();
    JsonNode done = node.path("done");
    for (int i = 0; i + 1 < done.size(); i += 2) {
      editor.markDone(done.get(i).intValue(), done.get(i + 1).intValue());
    }
    for (JsonNode item : node.path("owned")) {
      editor.putOwnedAttempt(
          new Attempt(
              item.path(0).intValue(),
              item.path(1).asText(),
              item.path(2).longValue(),
              item.path(3).intValue(),
              item.path(4).longValue()));
    }
    for (JsonNode item : node.path("past")) {
      editor.putHistory(
          item.path(0).intValue(),
          new Shard.History(item.path(1).intValue(), item.path(2).intValue()));
    }
    return editor.build();
  }
}
