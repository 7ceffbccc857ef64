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
 * Where the records of the present incarnation are in the state service. The rest of the program
 * knows keys as {@link Records} names them; here they get the incarnation's prefix, and each
 * transaction the condition that the incarnation is still the present one.
 */
public final class KeySpace {
  private Incarnation incarnation;
  private long incarnationVersion;
  private String prefix = Records.PREFIX;

  /** Progress records that are only in a bundle, so that their removal has to be written down. */
  private final Set<String> bundled = new HashSet<>();

  /** Enters an incarnation, whose record has this version. */
  public void enter(Incarnation present, long recordVersion) {
    incarnation = present;
    incarnationVersion = recordVersion;
    prefix = present.prefix();
    bundled.clear();
  }

  /** The incarnation whose records are used; null before one was entered. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** The version of the record of {@link #incarnation}. */
  public long incarnationVersion() {
    return incarnationVersion;
  }

  /** Whether transactions name the incarnation. */
  boolean isFenced() {
    return incarnation != null;
  }

  /** What the keys of all records of the present incarnation begin with. */
  String prefix() {
    return prefix;
  }

  void addBundled(String progressKey) {
    bundled.add(progressKey);
  }

  String toPhysical(String key) {
    return key.equals(Incarnation.KEY) ? key : prefix + key.substring(Records.PREFIX.length());
  }

  /** The key as {@link Records} names it; null if it belongs to another incarnation. */
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

  Request commit(Map<String, Long> conditions, List<StateStoreProtocol.Change> changes) {
    Map<String, Long> named = new LinkedHashMap<>();
    named.put(Incarnation.KEY, incarnationVersion);
    conditions.forEach((key, value) -> named.put(toPhysical(key), value));
    List<StateStoreProtocol.Change> mapped = new ArrayList<>();
    for (StateStoreProtocol.Change change : changes) {
      // A bundle is never rewritten. A record that is only in one would be read again from there.
      boolean tombstone = change.value() == null && bundled.contains(change.key());
      mapped.add(
          new StateStoreProtocol.Change(
              toPhysical(change.key()),
              tombstone ? Json.object() : change.value(),
              change.leaseId()));
    }
    return StateStoreProtocol.transactionRequest(named, mapped);
  }
}
