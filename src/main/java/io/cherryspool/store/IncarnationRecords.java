package io.cherryspool.store;

import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The records of one incarnation among all keys that were read, before any of them is used. */
final class IncarnationRecords {
  private final KeySpace keySpace;
  private final List<StateStoreProtocol.Event> records = new ArrayList<>();
  private final Map<String, Long> immutableVersions = new HashMap<>();
  private final TreeMap<String, StateStoreProtocol.Event> bundles = new TreeMap<>();
  private boolean hasOtherIdentity;
  private boolean hasIdentity;
  private LastChange lastChange;

  private IncarnationRecords(KeySpace keySpace) {
    this.keySpace = keySpace;
  }

  /** Sorts keys, under the names that the state store has for them, by what they are. */
  static IncarnationRecords parse(Collection<StateStoreProtocol.Event> entries, KeySpace keySpace) {
    IncarnationRecords result = new IncarnationRecords(keySpace);
    entries.forEach(result::add);
    return result;
  }

  private void add(StateStoreProtocol.Event event) {
    boolean isRemoved = event.value() == null;
    if (!isRemoved && (lastChange == null || event.version() > lastChange.version())) {
      lastChange = new LastChange(event);
    }
    if (event.key().equals(Incarnation.KEY)) {
      hasIdentity = true;
      hasOtherIdentity = event.version() != keySpace.incarnationVersion();
      return;
    }
    String key = keySpace.toLogical(event.key());
    if (key == null) {
      return;
    }
    if (Records.isImmutable(key) && !isRemoved) {
      immutableVersions.put(key, event.version());
    }
    StateStoreProtocol.Event logical =
        new StateStoreProtocol.Event(key, event.value(), event.version());
    if (key.startsWith(Records.BUNDLES)) {
      bundles.put(key, logical);
    } else {
      records.add(logical);
    }
  }

  /** Whether the incarnation's identity record is no longer the one that was entered. */
  boolean isSuperseded() {
    // Only the first incarnation's prefix covers the identity record; after a rebuild it is among
    // the keys only if it has changed meanwhile.
    return hasOtherIdentity || (!hasIdentity && keySpace.incarnation().number() == 0);
  }

  /** The records by their keys as {@link Records} names them, without the bundles. */
  List<StateStoreProtocol.Event> records() {
    return records;
  }

  /** The versions of the records that are never removed, by key. */
  Map<String, Long> immutableVersions() {
    return immutableVersions;
  }

  /** The newest change among all keys, null if there is none. */
  LastChange lastChange() {
    return lastChange;
  }

  /** The key of a record that is missing here or has another version; empty if there is none. */
  Optional<String> firstMissing(Map<String, Long> expectedVersions) {
    for (Map.Entry<String, Long> expected : expectedVersions.entrySet()) {
      if (!expected.getValue().equals(immutableVersions.get(expected.getKey()))) {
        return Optional.of(expected.getKey());
      }
    }
    return Optional.empty();
  }

  /** Whether the bundles are those that the incarnation's manifest describes. */
  boolean hasMatchingBundles() {
    Incarnation.Manifest manifest = keySpace.incarnation().manifest();
    if (bundles.size() != manifest.bundleCount()) {
      return false;
    }
    try {
      return bundles.isEmpty() || RecordsSnapshotCodec.digest(chunks()).equals(manifest.digest());
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  /** The jobs that the bundles hold. */
  Collection<RecordsSnapshot.JobSnapshot> rebuiltJobs() throws MalformedMessageException {
    return bundles.isEmpty() ? List.of() : RecordsSnapshotCodec.decode(chunks()).values();
  }

  /** The chunks of the bundles up to the first that is missing or can't be read. */
  List<byte[]> leadingChunks() {
    List<byte[]> chunks = new ArrayList<>();
    for (int i = 0; bundles.containsKey(Records.bundleKey(i)); i++) {
      try {
        chunks.add(Records.decodeBundle(bundles.get(Records.bundleKey(i)).value()));
      } catch (MalformedMessageException e) {
        break;
      }
    }
    return chunks;
  }

  private List<byte[]> chunks() throws MalformedMessageException {
    List<byte[]> chunks = new ArrayList<>();
    for (StateStoreProtocol.Event bundle : bundles.values()) {
      chunks.add(Records.decodeBundle(bundle.value()));
    }
    return chunks;
  }
}
