package io.cherryspool.store;

import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a reading of all keys says of one incarnation, before any of it is used. */
final class IncarnationRecords {
  private final KeySpace space;
  private final List<StateStoreProtocol.Event> records = new ArrayList<>();
  private final Map<String, Long> permanent = new HashMap<>();
  private final TreeMap<String, StateStoreProtocol.Event> bundles = new TreeMap<>();
  private boolean superseded;
  private boolean identified;
  private LastChange lastChange;

  private IncarnationRecords(KeySpace space) {
    this.space = space;
  }

  static IncarnationRecords parse(Collection<StateStoreProtocol.Event> found, KeySpace space) {
    IncarnationRecords result = new IncarnationRecords(space);
    found.forEach(result::take);
    return result;
  }

  private void take(StateStoreProtocol.Event event) {
    if (event.value() != null && (lastChange == null || event.version() > lastChange.version())) {
      lastChange = new LastChange(event);
    }
    if (event.key().equals(Incarnation.KEY)) {
      identified = true;
      superseded = event.version() != space.incarnationVersion();
      return;
    }
    String key = space.toLogical(event.key());
    if (key == null) {
      return;
    }
    if (Records.isImmutable(key) && event.value() != null) {
      permanent.put(key, event.version());
    }
    StateStoreProtocol.Event logical =
        new StateStoreProtocol.Event(key, event.value(), event.version());
    if (key.startsWith(Records.BUNDLES)) {
      bundles.put(key, logical);
    } else {
      records.add(logical);
    }
  }

  /** Whether the incarnation's record is no longer the one that was entered. */
  boolean superseded() {
    // Of the first incarnation the record is among the keys; others have a prefix of their own.
    return superseded || !identified && space.incarnation().number() == 0;
  }

  /** The keys of the incarnation as {@link Records} names them, without its bundles. */
  List<StateStoreProtocol.Event> records() {
    return records;
  }

  /** The versions of records that are never removed. */
  Map<String, Long> permanent() {
    return permanent;
  }

  /** The newest change seen, null if there was none. */
  LastChange lastChange() {
    return lastChange;
  }

  /** A record that was there and is not, or not the same; null if all are. */
  String firstMissing(Map<String, Long> before) {
    for (Map.Entry<String, Long> known : before.entrySet()) {
      if (!known.getValue().equals(permanent.get(known.getKey()))) {
        return known.getKey();
      }
    }
    return null;
  }

  /** Whether the bundles are all there, unchanged. */
  boolean bundlesMatch() {
    Incarnation.Manifest manifest = space.incarnation().manifest();
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
  List<byte[]> firstChunks() {
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
