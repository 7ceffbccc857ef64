package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.Json;

/**
 * The identity of the records: which cluster they belong to, and how often its state was rebuilt.
 * Every transaction names the version of the record that holds it, so that none of an earlier
 * incarnation is carried out after the next one was begun.
 *
 * @param cluster chosen at the first installation, never changed
 * @param number 0 for the first installation, one more with each rebuild that was begun
 * @param nonce makes the key prefix of a rebuild unique; empty for number 0
 * @param phase whether the records under the prefix are whole
 * @param rebuilder the process that began the rebuild; empty for number 0
 * @param origin the history that the rebuild started from
 * @param isComplete whether the rebuilt picture holds every start that was ever ordered; if not,
 *     the next leaders take in what workers report before they place anything; while it is being
 *     rebuilt, whether the rebuilder remembers every start
 * @param manifest what a whole rebuild consists of, {@link Manifest#NONE} before it is whole
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
    SERVING,
    REBUILDING
  }

  /** A point of the history: how far a node's memory reaches. */
  public record HistoryPosition(long incarnationNumber, long revision)
      implements Comparable<HistoryPosition> {
    /** Of a node that remembers nothing. */
    public static final HistoryPosition NONE = new HistoryPosition(-1, 0);

    @Override
    public int compareTo(HistoryPosition other) {
      int byNumber = Long.compare(incarnationNumber, other.incarnationNumber);
      return byNumber != 0 ? byNumber : Long.compare(revision, other.revision);
    }
  }

  /** How many bundles a rebuild wrote, and the digest of all of them in order. */
  public record Manifest(int bundleCount, String digest) {
    public static final Manifest NONE = new Manifest(0, "");
  }

  /** The key under which the record is kept, in every incarnation. */
  public static final String KEY = "c/incarnation";

  public static Incarnation firstInstallation(String cluster) {
    return new Incarnation(
        cluster, 0, "", Phase.SERVING, "", HistoryPosition.NONE, true, Manifest.NONE);
  }

  /**
   * A rebuild that begins.
   *
   * @param led whether the rebuilder surely led when the state was lost
   */
  public static Incarnation newRebuild(
      String cluster,
      long number,
      String nonce,
      String rebuilder,
      HistoryPosition origin,
      boolean led) {
    return new Incarnation(
        cluster, number, nonce, Phase.REBUILDING, rebuilder, origin, led, Manifest.NONE);
  }

  /** The same rebuild once all is written. */
  public Incarnation completed(boolean whole, Manifest written) {
    return new Incarnation(
        cluster, number, nonce, Phase.SERVING, rebuilder, origin, whole, written);
  }

  /** What the keys of this incarnation's records begin with. */
  public String prefix() {
    return number == 0 ? Records.PREFIX : Records.PREFIX + "@" + number + "-" + nonce + "/";
  }

  /** The key under which the service keeps a record of this incarnation. */
  public String toPhysical(String key) {
    return prefix() + key.substring(Records.PREFIX.length());
  }

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
