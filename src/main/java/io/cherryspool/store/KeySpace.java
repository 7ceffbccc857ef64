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
 * Maps the keys that {@link Records} defines (logical keys) to the keys of the current incarnation
 * in the state store (physical keys). It also fences transactions: each one gets the condition that
 * the incarnation's identity record is unchanged.
 *
 * <p>Must be used on the event loop.
 */
public final class KeySpace {
  private Incarnation incarnation;
  private long incarnationVersion;
  private String prefix = Records.PREFIX;

  /**
   * The logical keys of progress records that are in a bundle. Deleting such a key would not delete
   * the record in the bundle.
   */
  private final Set<String> bundledKeys = new HashSet<>();

  /**
   * Switches to an incarnation.
   *
   * @param version the version of its identity record
   */
  public void switchTo(Incarnation newIncarnation, long version) {
    incarnation = newIncarnation;
    incarnationVersion = version;
    prefix = newIncarnation.prefix();
    bundledKeys.clear();
  }

  /**
   * The incarnation whose records are used. It is null before the first call of {@link #switchTo},
   * and always on a node without rollback detection.
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * The version of the identity record of {@link #incarnation}, 0 before the first call of {@link
   * #switchTo}.
   */
  public long incarnationVersion() {
    return incarnationVersion;
  }

  /** Whether transactions get the incarnation as a condition. */
  boolean isFenced() {
    return incarnation != null;
  }

  /** The prefix of the physical keys. */
  String prefix() {
    return prefix;
  }

  /** Notes that the progress record with this logical key is in a bundle. */
  void addBundled(String progressKey) {
    bundledKeys.add(progressKey);
  }

  /** Maps a logical key to its physical key. The key of the identity record is the same in both. */
  String toPhysicalKey(String key) {
    return key.equals(Incarnation.KEY) ? key : prefix + key.substring(Records.PREFIX.length());
  }

  /**
   * Maps a physical key to its logical key. Returns null if the key belongs to another incarnation.
   */
  String toLogicalKey(String physicalKey) {
    if (physicalKey.equals(Incarnation.KEY)) {
      return physicalKey;
    }
    if (!physicalKey.startsWith(prefix)) {
      return null;
    }
    String rest = physicalKey.substring(prefix.length());
    return rest.startsWith("@") ? null : Records.PREFIX + rest;
  }

  /** Builds the request for a transaction given with logical keys, fenced by the incarnation. */
  Request fencedTransaction(Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    Map<String, Long> physicalConditions = new LinkedHashMap<>();
    physicalConditions.put(Incarnation.KEY, incarnationVersion);
    conditions.forEach((key, value) -> physicalConditions.put(toPhysicalKey(key), value));
    List<StateStoreProtocol.Change> physicalChanges = new ArrayList<>();
    for (StateStoreProtocol.Change change : changes) {
      // Bundles are never rewritten. If the key were deleted, the record in the bundle would become
      // valid again, so an empty value is written instead.
      boolean needsTombstone = change.value() == null && bundledKeys.contains(change.key());
      physicalChanges.add(
          new StateStoreProtocol.Change(
              toPhysicalKey(change.key()),
              needsTombstone ? Json.object() : change.value(),
              change.leaseId()));
    }
    return StateStoreProtocol.transactionRequest(physicalConditions, physicalChanges);
  }
}
