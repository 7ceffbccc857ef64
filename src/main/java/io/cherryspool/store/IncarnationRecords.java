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

/**
 * The records of one incarnation, selected from all keys that were read, so that they can be
 * verified before they are used.
 */
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

  /** Selects the records of the incarnation of {@code keySpace} from entries with physical keys. */
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
    String key = keySpace.toLogicalKey(event.key());
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

  /** Whether the identity record is no longer that of the incarnation that was entered. */
  boolean isSuperseded() {
    // Only the key prefix of the first incarnation includes the key of the identity record. In
    // later incarnations the identity record is among the entries only if it changed during the
    // load.
    return hasOtherIdentity || (!hasIdentity && keySpace.incarnation().number() == 0);
  }

  /** The records with their logical keys, without the bundles. */
  List<StateStoreProtocol.Event> records() {
    return records;
  }

  /** The versions of the immutable records by logical key. */
  Map<String, Long> immutableVersions() {
    return immutableVersions;
  }

  /** The newest change of any key, null if there is none. */
  LastChange lastChange() {
    return lastChange;
  }

  /**
   * Returns the key of a record that is missing or does not have the expected version, or empty if
   * there is none.
   */
  Optional<String> firstMissing(Map<String, Long> expectedVersions) {
    for (Map.Entry<String, Long> expected : expectedVersions.entrySet()) {
      if (!expected.getValue().equals(immutableVersions.get(expected.getKey()))) {
        return Optional.of(expected.getKey());
      }
    }
    return Optional.empty();
  }

  /** Whether the bundles match the incarnation's manifest. */
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

  /** Decodes the jobs in the bundles. */
  Collection<RecordsSnapshot.JobSnapshot> rebuiltJobs() throws MalformedMessageException {
    return bundles.isEmpty() ? List.of() : RecordsSnapshotCodec.decode(chunks()).values();
  }

  /** Returns the chunks of the bundles up to the first bundle that is missing or unreadable. */
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
