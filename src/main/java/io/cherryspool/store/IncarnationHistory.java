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
 * The part of the current incarnation's history by which a {@link Replica} verifies answers of the
 * state store: the last change, and the versions of the records that are never removed. An answer
 * that lacks them shows that the state store lost data, which is reported to the {@link
 * RollbackDetector}.
 *
 * <p>It verifies and keeps nothing before {@link #enable}.
 */
final class IncarnationHistory {
  private final KeySpace keySpace;
  private final RecordIndex index;
  private RollbackDetector detector = RollbackDetector.DISABLED;

  /** Null before {@link #enable}. */
  private SnapshotTracker snapshots;

  /** The versions of the immutable records by key. */
  private final Map<String, Long> immutableVersions = new HashMap<>();

  /** Null if the last change is unknown or if the state store has compacted it. */
  private LastChange lastChange;

  /** Whether the index contains the records of the incarnation that was entered last. */
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

  /** Drops everything, before another incarnation is loaded. */
  void clear() {
    immutableVersions.clear();
    lastChange = null;
    isIndexCurrent = false;
  }

  /** The change that the answer to a read must contain, null if there is none. */
  LastChange lastChange() {
    return lastChange;
  }

  /**
   * Drops the last change after the state store has compacted it, so that answers need not contain
   * it.
   */
  void dropLastChange() {
    lastChange = null;
  }

  /** Whether the answer to a read contains the expected change. Reports a loss if not. */
  boolean verifyContains(LastChange expected, StateStoreProtocol.WatchResult changes) {
    if (expected == null || expected.isIncludedIn(changes)) {
      return true;
    }
    detector.reportLoss(RollbackDetector.Loss.CHANGE_MISSING, expected.toString());
    return false;
  }

  /**
   * Applies a change if it is of a record of this incarnation. Reports a change of the identity
   * record.
   */
  void apply(StateStoreProtocol.Event event) {
    lastChange = new LastChange(event);
    if (event.key().equals(Incarnation.KEY)) {
      if (event.version() != keySpace.incarnationVersion()) {
        detector.onIncarnationChanged();
      }
      return;
    }
    String key = keySpace.toLogicalKey(event.key());
    if (key != null) {
      if (Records.isImmutable(key)) {
        immutableVersions.put(key, event.version());
      }
      index.set(new StateStoreProtocol.Event(key, event.value(), event.version()));
    }
  }

  /**
   * Checks all records of the incarnation after they were reloaded. If they are complete, their
   * versions replace those kept so far; otherwise the loss or the change of incarnation is
   * reported.
   *
   * @return the jobs in the bundles of the rebuild that began the incarnation, or empty if the
   *     records must not be used
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

  /** Called when the index contains the records that were verified last. */
  void markIndexCurrent() {
    isIndexCurrent = isEnabled();
  }

  /** Reports to the detector that the records are loaded. */
  void reportLoaded() {
    detector.onRecordsLoaded();
  }

  /** Implements {@link ClusterRecords#snapshot}. */
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

  /** Implements {@link ClusterRecords#immutableRecordsSince}. */
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
