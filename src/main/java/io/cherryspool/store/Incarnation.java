package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;

/**
 * The identity of the records: which cluster they belong to, and how often its state was rebuilt.
 * Every transaction has the version of its record as a condition, so that none of an earlier
 * incarnation is applied after the next one has begun.
 *
 * <p>Its eight components are the fields of one stored record, which is read and written as a
 * whole.
 *
 * @param cluster chosen at the first installation, never changed
 * @param number 0 for the first installation, one more with each rebuild that was begun
 * @param nonce makes the key prefix of a rebuild unique; empty for number 0
 * @param phase whether the records under the prefix are complete
 * @param rebuilder the node that began the rebuild; empty for number 0
 * @param origin how far the history reached that the rebuild started from
 * @param isComplete whether the rebuilt records hold every start of a task; if not, the next
 *     leaders reconcile what workers run before they place anything. During the rebuild: whether
 *     the rebuilder retains every start
 * @param manifest the bundles of a finished rebuild, {@link Manifest#NONE} otherwise
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
    /** They are complete. */
    SERVING,
    /** A node is writing them. */
    REBUILDING
  }

  /**
   * How far the records that a node retains reach.
   *
   * @param incarnationNumber the incarnation that they are of, -1 for none
   * @param revision the revision of the state store within it
   */
  public record HistoryPosition(long incarnationNumber, long revision)
      implements Comparable<HistoryPosition> {
    /** Of a node that retains no records; before all others. */
    public static final HistoryPosition NONE = new HistoryPosition(-1, 0);

    @Override
    public int compareTo(HistoryPosition other) {
      int byNumber = Long.compare(incarnationNumber, other.incarnationNumber);
      return byNumber != 0 ? byNumber : Long.compare(revision, other.revision);
    }
  }

  /**
   * The bundles that a rebuild has written.
   *
   * @param digest {@link RecordsSnapshotCodec#digest} of the chunks in them, in order
   */
  public record Manifest(int bundleCount, String digest) {
    /** Of a rebuild that is not finished, and of a first installation. */
    public static final Manifest NONE = new Manifest(0, "");
  }

  /** The key of the identity record, in every incarnation. */
  public static final String KEY = "c/incarnation";

  /** The incarnation that a cluster begins with. */
  public static Incarnation firstInstallation(String cluster) {
    return new Incarnation(
        cluster, 0, "", Phase.SERVING, "", HistoryPosition.NONE, true, Manifest.NONE);
  }

  /**
   * A rebuild that begins.
   *
   * @param retainsEveryStart whether the rebuilder was the sole leader when the state was lost
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
   * The same rebuild once all is written.
   *
   * @param holdsEveryStart whether the written records hold every start of a task
   */
  public Incarnation completed(boolean holdsEveryStart, Manifest written) {
    return new Incarnation(
        cluster, number, nonce, Phase.SERVING, rebuilder, origin, holdsEveryStart, written);
  }

  /** The prefix of this incarnation's keys in the state store. */
  public String prefix() {
    return number == 0 ? Records.PREFIX : Records.PREFIX + "@" + number + "-" + nonce + "/";
  }

  /** The key that the state store has for a key of {@link Records}. */
  public String toPhysical(String key) {
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

  /** Whether an event is an identity record of a rebuild. */
  static boolean isOfRebuild(StateStoreProtocol.Event event) {
    return event.key().equals(KEY) && event.value() != null && decode(event.value()).number > 0;
  }

  /** Reads the value of the identity record; fields that are missing are empty or 0. */
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
