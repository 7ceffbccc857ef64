package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a copy retains of the present incarnation's history besides the records' values: the last
 * change, and the versions of the records that are never removed. Answers that lack them show that
 * the state store lost data, which is reported to the {@link RollbackDetector}.
 *
 * <p>Until {@link #enable} it verifies and retains nothing.
 */
final class IncarnationHistory {
  private final KeySpace keySpace;
  private final RecordIndex index;
  private RollbackDetector detector = RollbackDetector.DISABLED;

  /** Null until enabled. */
  private SnapshotTracker snapshots;

  /** Versions of the immutable records by key. */
  private final Map<String, Long> immutableVersions = new HashMap<>();

  /** Null if it is unknown, or older than what the state store keeps of its history. */
  private LastChange lastChange;

  /** Whether the index holds records of the incarnation that was entered last. */
  private boolean isIndexCurrent;

  IncarnationHistory(KeySpace keySpace, RecordIndex index) {
    this.keySpace = keySpace;
    this.index = index;
  }

  void enable(RollbackDetector rollbackDetector) {
    detector = rollbackDetector;
    snapshots = new SnapshotTracker(index.jobs());
    index.jobs().addListener(snapshots);
  }

  boolean isEnabled() {
    return snapshots != null;
  }

  /** Starts over with another incarnation. */
  void clear() {
    immutableVersions.clear();
    lastChange = null;
    isIndexCurrent = false;
  }

  /** The change that a read has to show, null for none. */
  LastChange lastChange() {
    return lastChange;
  }

  /** Expects the last change no longer: the state store's history does not reach back to it. */
  void dropLastChange() {
    lastChange = null;
  }

  /** Whether the answer to a read shows a change that it has to; otherwise reports the loss. */
  boolean verifyShows(LastChange expected, StateStoreProtocol.WatchResult changes) {
    if (expected == null || expected.isIn(changes)) {
      return true;
    }
    detector.reportLoss(RollbackDetector.Loss.CHANGE_MISSING, expected.toString());
    return false;
  }

  /** Applies a change of a record of this incarnation, and reports one of its identity. */
  void apply(StateStoreProtocol.Event event) {
    lastChange = new LastChange(event);
    if (event.key().equals(Incarnation.KEY)) {
      if (event.version() != keySpace.incarnationVersion()) {
        detector.onIncarnationChanged();
      }
      return;
    }
    String key = keySpace.toLogical(event.key());
    if (key != null) {
      if (Records.isImmutable(key)) {
        immutableVersions.put(key, event.version());
      }
      index.set(new StateStoreProtocol.Event(key, event.value(), event.version()));
    }
  }

  /**
   * Checks all records of the incarnation as they were read anew. If they are whole, their versions
   * replace those retained so far; otherwise what is wrong is reported.
   *
   * @return the jobs of the rebuild that the incarnation began with, or empty if the records must
   *     not be used
   */
  Optional<Collection<RecordsSnapshot.JobSnapshot>> verifyLoad(IncarnationRecords read) {
    if (read.isSuperseded()) {
      detector.onIncarnationChanged();
      return Optional.empty();
    }
    Optional<String> missing = read.firstMissing(immutableVersions);
    if (missing.isPresent()) {
      return reportLoss(RollbackDetector.Loss.RECORDS_GONE, missing.get());
    }
    if (!read.hasMatchingBundles()) {
      return reportLoss(RollbackDetector.Loss.BUNDLES_DAMAGED, keySpace.prefix());
    }
    Collection<RecordsSnapshot.JobSnapshot> rebuilt;
    try {
      rebuilt = read.rebuiltJobs();
    } catch (MalformedMessageException e) {
      return reportLoss(RollbackDetector.Loss.BUNDLES_DAMAGED, e.getMessage());
    }
    immutableVersions.clear();
    immutableVersions.putAll(read.immutableVersions());
    lastChange = read.lastChange();
    return Optional.of(rebuilt);
  }

  private Optional<Collection<RecordsSnapshot.JobSnapshot>> reportLoss(
      RollbackDetector.Loss loss, String detail) {
    detector.reportLoss(loss, detail);
    return Optional.empty();
  }

  /** The index holds the records that were verified last. */
  void markIndexCurrent() {
    isIndexCurrent = isEnabled();
  }

  /** Reports that the records are loaded and may be used. */
  void reportLoaded() {
    detector.onRecordsLoaded();
  }

  /** See {@link ClusterRecords#snapshot}. */
  RecordsSnapshot snapshot(long revision) {
    if (!isIndexCurrent) {
      return RecordsSnapshot.EMPTY;
    }
    Incarnation incarnation = keySpace.incarnation();
    return new RecordsSnapshot(
        incarnation.cluster(),
        incarnation.nonce(),
        new Incarnation.HistoryPosition(incarnation.number(), revision),
        index.term(),
        index.catalogRecord(),
        snapshots.jobs());
  }

  /** See {@link ClusterRecords#immutableRecordsSince}. */
  List<StateStoreProtocol.Change> immutableRecordsSince(long afterRevision) {
    List<StateStoreProtocol.Change> result = new ArrayList<>();
    immutableVersions.forEach(
        (key, version) -> {
          JsonNode value = version > afterRevision ? index.jobs().immutableRecord(key) : null;
          if (value != null) {
            result.add(new StateStoreProtocol.Change(key, value, 0));
          }
        });
    return result;
  }
}
