package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;

/**
 * The identity of the records: the cluster that they belong to, and the number of times that they
 * were rebuilt after the state store lost data. It is stored in an identity record. Every
 * transaction has the version of that record as a condition, so that no transaction of an earlier
 * incarnation is applied after the next one has begun.
 *
 * <p>The eight components are the fields of the identity record, which is read and written as a
 * whole.
 *
 * @param cluster the cluster's id, chosen at the first installation and never changed
 * @param number 0 for the first installation, incremented with each rebuild that begins
 * @param nonce a random text that makes the key prefix of a rebuild unique; empty for number 0
 * @param phase whether the records under the key prefix are complete
 * @param rebuilder the node that started the rebuild; empty for number 0
 * @param origin the position in the history of the records that the rebuild started from
 * @param isComplete whether the records contain every start of a task. If not, the next leader
 *     reconciles the records with the tasks that workers run before it places any tasks. During the
 *     rebuild, whether the rebuilder's own records contain every start.
 * @param manifest describes the bundles of a finished rebuild; {@link Manifest#NONE} otherwise
 */
public record Incarnation(
    String cluster,
    long number,
    String nonce,
    Phase phase,
    String rebuilder,
    HistoryPosition origin,
    boolean isComplete,
    Manifest manifest) {

  /** Whether the records may be read and changed. */
  public enum Phase {
    /** The records are complete. */
    SERVING,
    /** A node is writing the records. */
    REBUILDING
  }

  /**
   * A position in the history of the records: the last revision that a copy of the records
   * includes.
   *
   * @param incarnationNumber the number of the incarnation, -1 if there are no records
   * @param revision the revision of the state store in this incarnation
   */
  public record HistoryPosition(long incarnationNumber, long revision)
      implements Comparable<HistoryPosition> {
    /** The position of a node that retains no records. It orders before all others. */
    public static final HistoryPosition NONE = new HistoryPosition(-1, 0);

    @Override
    public int compareTo(HistoryPosition other) {
      int byNumber = Long.compare(incarnationNumber, other.incarnationNumber);
      return byNumber != 0 ? byNumber : Long.compare(revision, other.revision);
    }
  }

  /**
   * Describes the bundles that a rebuild has written, so that missing or damaged ones are detected.
   *
   * @param digest the {@link RecordsSnapshotCodec#digest} of the bundles' chunks in order
   */
  public record Manifest(int bundleCount, String digest) {
    /** The manifest of a rebuild that is not finished, and of a first installation. */
    public static final Manifest NONE = new Manifest(0, "");
  }

  /** The key of the identity record, the same in every incarnation. */
  public static final String KEY = "c/incarnation";

  /** Returns the first incarnation of a cluster. */
  public static Incarnation firstInstallation(String cluster) {
    return new Incarnation(
        cluster, 0, "", Phase.SERVING, "", HistoryPosition.NONE, true, Manifest.NONE);
  }

  /**
   * Returns the incarnation of a rebuild that begins.
   *
   * @param retainsEveryStart whether the rebuilder knows of every start of a task, because it was
   *     the sole leader when the data was lost
   */
  public static Incarnation newRebuild(
      String cluster,
      long number,
      String nonce,
      String rebuilder,
      HistoryPosition origin,
      boolean retainsEveryStart) {
    return new Incarnation(
        cluster,
        number,
        nonce,
        Phase.REBUILDING,
        rebuilder,
        origin,
        retainsEveryStart,
        Manifest.NONE);
  }

  /**
   * Returns this incarnation as it is after the rebuild has written all records.
   *
   * @param holdsEveryStart whether the written records contain every start of a task
   */
  public Incarnation asCompleted(boolean holdsEveryStart, Manifest written) {
    return new Incarnation(
        cluster, number, nonce, Phase.SERVING, rebuilder, origin, holdsEveryStart, written);
  }

  /** The prefix of this incarnation's keys in the state store. */
  public String prefix() {
    return number == 0 ? Records.PREFIX : Records.PREFIX + "@" + number + "-" + nonce + "/";
  }

  /**
   * Maps a logical key, as {@link Records} defines it, to this incarnation's key in the state
   * store.
   */
  public String toPhysicalKey(String key) {
    return prefix() + key.substring(Records.PREFIX.length());
  }

  /** The value of the identity record. */
  public JsonNode encode() {
    return Json.object()
        .put("cluster", cluster)
        .put("number", number)
        .put("nonce", nonce)
        .put("serving", phase == Phase.SERVING)
        .put("by", rebuilder)
        .put("from", origin.incarnationNumber)
        .put("revision", origin.revision)
        .put("complete", isComplete)
        .put("bundles", manifest.bundleCount)
        .put("digest", manifest.digest);
  }

  /** Whether an event is a change of the identity record to an incarnation of a rebuild. */
  static boolean isOfRebuild(StateStoreProtocol.Event event) {
    return event.key().equals(KEY) && event.value() != null && decode(event.value()).number > 0;
  }

  /** Reads the value of the identity record. Missing fields are read as empty or 0. */
  public static Incarnation decode(JsonNode node) {
    return new Incarnation(
        node.path("cluster").asText(),
        node.path("number").longValue(),
        node.path("nonce").asText(),
        node.path("serving").asBoolean() ? Phase.SERVING : Phase.REBUILDING,
        node.path("by").asText(),
        new HistoryPosition(node.path("from").longValue(), node.path("revision").longValue()),
        node.path("complete").asBoolean(),
        new Manifest(node.path("bundles").intValue(), node.path("digest").asText()));
  }
}
