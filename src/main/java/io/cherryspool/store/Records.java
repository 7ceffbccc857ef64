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

/**
 * The logical keys (see {@link KeySpace}) and the values of all records in the state store. Their
 * formats must not change, because nodes of other versions read the same records.
 */
public final class Records {
  /** Prefix of all keys. */
  public static final String PREFIX = "c/";

  /** Key of the term that began last. */
  public static final String TERM = "c/term";

  /** Key of the current {@link Leader}, attached to the leader's lease. */
  public static final String LEADER = "c/leader";

  /** Key of the {@link Successor} to which a leader handed leadership over. */
  public static final String SUCCESSOR = "c/successor";

  /** Key of the machine types. */
  public static final String CATALOG = "c/catalog";

  /** Prefix of the bundles: the chunks of the snapshot that a rebuild wrote. They never change. */
  public static final String BUNDLES = "c/bundles/";

  /**
   * Key of a marker that exists once a leader has reconciled the records with the tasks that were
   * running when the state store lost its data.
   */
  public static final String RECONCILED = "c/settled";

  /**
   * Prefix of markers of jobs that workers run, that the records lack since a data loss, and that
   * no user has submitted again.
   */
  static final String UNKNOWN = "c/unknown/";

  /** Prefix of markers of jobs that wait for an operator: tasks may have ended unrecorded. */
  static final String HELD = "c/held/";

  static final String JOBS = "c/jobs/";
  static final String OUTCOMES = "c/outcomes/";
  static final String PROGRESS = "c/progress/";

  /** The size of an owned task with its history, with the longest machine names that occur. */
  private static final int BYTES_PER_TASK = 80;

  private static final String ABANDONED = "abandoned";

  /** The size of a bundle's value in addition to its Base64 text. */
  private static final int BUNDLE_OVERHEAD_BYTES = 32;

  private Records() {}

  /**
   * The leader of a term.
   *
   * @param processId identifies the node's process, because a restarted node is no longer the
   *     leader
   * @param leaseId the lease that the record is attached to
   */
  public record Leader(long term, String node, String processId, long leaseId) {}

  /**
   * A handover of leadership.
   *
   * @param term the term of the node that handed over
   * @param node the node that should lead next
   * @param predecessor the node that handed over
   */
  public record Successor(long term, String node, String predecessor) {}

  /** Returns the key of a job's description. */
  public static String jobKey(String id) {
    return JOBS + id;
  }

  /** Returns the key of a job's outcome. */
  public static String outcomeKey(String id) {
    return OUTCOMES + id;
  }

  /** Returns the key of one of a job's progress records. */
  public static String progressKey(String id, int shard) {
    return PROGRESS + id + "/" + shard;
  }

  /** Returns the key of a bundle. The keys sort in the order of the bundles. */
  public static String bundleKey(int number) {
    return String.format("%s%08d", BUNDLES, number);
  }

  /** Returns the key of the marker of an unknown job. */
  public static String unknownJobKey(String id) {
    return UNKNOWN + id;
  }

  /** Returns the key of the marker of a held job. */
  public static String heldJobKey(String id) {
    return HELD + id;
  }

  /** Whether a record with this key is never changed or removed. */
  public static boolean isImmutable(String key) {
    return key.startsWith(JOBS) || key.startsWith(OUTCOMES) || key.startsWith(BUNDLES);
  }

  /**
   * Returns how many tasks a progress record may cover so that its value stays within this size.
   */
  public static int tasksPerShard(int valueBytes) {
    return Math.max(1, valueBytes / BYTES_PER_TASK);
  }

  /** Encodes the value of a bundle that contains a chunk. */
  public static JsonNode encodeBundle(byte[] chunk) {
    return Json.object().put("z", Base64.getEncoder().encodeToString(chunk));
  }

  static byte[] decodeBundle(JsonNode node) throws MalformedMessageException {
    try {
      return Base64.getDecoder().decode(node.path("z").asText());
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("the bundle is not valid Base64: " + e.getMessage());
    }
  }

  /** Returns the size of the largest chunk whose bundle fits into a value of this size. */
  public static int maxChunkBytes(int valueBytes) {
    return (valueBytes - BUNDLE_OVERHEAD_BYTES) / 4 * 3;
  }

  /** Encodes the value of a record that marks something by its existence. */
  public static JsonNode presenceMarker() {
    return Json.object();
  }

  /** Encodes the marker of an unknown job that an operator has abandoned. */
  public static JsonNode abandonedMarker() {
    return Json.object().put(ABANDONED, true);
  }

  static boolean isAbandoned(JsonNode node) {
    return node.path(ABANDONED).asBoolean(false);
  }

  /** Encodes the value of {@link #TERM}. */
  public static JsonNode encodeTerm(long term) {
    return Json.object().put("term", term);
  }

  static long decodeTerm(JsonNode node) {
    return node.path("term").longValue();
  }

  /** Encodes the value of {@link #LEADER}. */
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

  /** Encodes the value of {@link #SUCCESSOR}. */
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

  /** Encodes a job's description. */
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

  /** Encodes a job's outcome. */
  public static JsonNode encodeOutcome(Outcome outcome) {
    return Json.object().put("end", outcome == Outcome.DONE ? "done" : "cancelled");
  }

  static Outcome decodeOutcome(JsonNode node) {
    return "done".equals(node.path("end").asText()) ? Outcome.DONE : Outcome.CANCELLED;
  }

  /** Encodes a progress record. */
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

  /** Returns an upper bound of the size that {@link #encodeShard} gives, without encoding. */
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
