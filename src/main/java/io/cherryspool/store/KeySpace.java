package io.cherryspool.store;

import io.cherryspool.http.Request;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Maps keys as {@link Records} names them (logical keys) to the keys of the present incarnation in
 * the state store (physical keys), and fences transactions: each one gets the condition that the
 * incarnation's identity record is unchanged.
 *
 * <p>Used on the event loop.
 */
public final class KeySpace {
  private Incarnation incarnation;
  private long incarnationVersion;
  private String prefix = Records.PREFIX;

  /** Keys of progress records that a bundle holds, where removing the key would not remove them. */
  private final Set<String> bundled = new HashSet<>();

  /**
   * Enters an incarnation.
   *
   * @param version the version of its identity record
   */
  public void enter(Incarnation present, long version) {
    incarnation = present;
    incarnationVersion = version;
    prefix = present.prefix();
    bundled.clear();
  }

  /**
   * The incarnation whose records are used; null before one was entered, and always on a node
   * without rollback detection.
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** The version of the identity record of {@link #incarnation}; 0 before one was entered. */
  public long incarnationVersion() {
    return incarnationVersion;
  }

  /** Whether transactions have the incarnation as a condition. */
  boolean isFenced() {
    return incarnation != null;
  }

  /** The prefix of the physical keys. */
  String prefix() {
    return prefix;
  }

  /** Notes that a bundle holds the progress record with this logical key. */
  void addBundled(String progressKey) {
    bundled.add(progressKey);
  }

  /** The physical key of a logical one. The identity record's key is both. */
  String toPhysical(String key) {
    return key.equals(Incarnation.KEY) ? key : prefix + key.substring(Records.PREFIX.length());
  }

  /** The logical key; null if the physical one is of another incarnation. */
  String toLogical(String physical) {
    if (physical.equals(Incarnation.KEY)) {
      return physical;
    }
    if (!physical.startsWith(prefix)) {
      return null;
    }
    String rest = physical.substring(prefix.length());
    return rest.startsWith("@") ? null : Records.PREFIX + rest;
  }

  /** A transaction with logical keys, fenced by the incarnation. */
  Request fencedTransaction(Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    Map<String, Long> physicalConditions = new LinkedHashMap<>();
    physicalConditions.put(Incarnation.KEY, incarnationVersion);
    conditions.forEach((key, value) -> physicalConditions.put(toPhysical(key), value));
    List<StateStoreProtocol.Change> physicalChanges = new ArrayList<>();
    for (StateStoreProtocol.Change change : changes) {
      // A bundle is never rewritten, and the record in it would be valid again.
      boolean needsTombstone = change.value() == null && bundled.contains(change.key());
      physicalChanges.add(
          new StateStoreProtocol.Change(
              toPhysical(change.key()),
              needsTombstone ? Json.object() : change.value(),
              change.leaseId()));
    }
    return StateStoreProtocol.transactionRequest(physicalConditions, physicalChanges);
  }
}
