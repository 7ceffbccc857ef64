package io.cherryspool.store;

import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Collection;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the records of an earlier incarnation that the state store still contains. */
public final class OrphanedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanedRecords.class);

  private OrphanedRecords() {}

  /**
   * Reads the jobs, the term and the catalog of an incarnation. Bundles of an interrupted rebuild
   * are used up to the first missing one, because they are parts of a valid snapshot.
   *
   * @param entries all entries of the state store, with their physical keys
   * @return a snapshot without a position in the history, since it may lack records
   */
  public static RecordsSnapshot read(
      Collection<StateStoreProtocol.Event> entries, Incarnation incarnation) {
    KeySpace keySpace = new KeySpace();
    keySpace.switchTo(incarnation, 0);
    IncarnationRecords orphaned = IncarnationRecords.parse(entries, keySpace);
    RecordIndex index = new RecordIndex(keySpace);
    SnapshotTracker tracker = new SnapshotTracker(index.jobs());
    index.jobs().addListener(tracker);
    index.replaceAll(decodeBundles(orphaned.leadingChunks()).values(), orphaned.records());
    return new RecordsSnapshot(
        incarnation.cluster(),
        incarnation.nonce(),
        Incarnation.HistoryPosition.NONE,
        index.term(),
        index.catalogRecord(),
        tracker.jobs());
  }

  /**
   * Returns the snapshot with the job or outcome that a change wrote. Returns the same snapshot if
   * it already contains the job or an outcome of the job, if it lacks the job of an outcome, or if
   * the record is unreadable.
   */
  public static RecordsSnapshot withChange(
      RecordsSnapshot snapshot, StateStoreProtocol.Change change) {
    String key = change.key();
    if (key.startsWith(Records.OUTCOMES)) {
      return withOutcome(snapshot, key.substring(Records.OUTCOMES.length()), change);
    }
    if (key.startsWith(Records.JOBS)) {
      return withJob(snapshot, key.substring(Records.JOBS.length()), change);
    }
    return snapshot;
  }

  private static RecordsSnapshot withOutcome(
      RecordsSnapshot snapshot, String id, StateStoreProtocol.Change change) {
    RecordsSnapshot.JobSnapshot job = snapshot.jobs().get(id);
    if (job == null || job.outcome() != null) {
      return snapshot;
    }
    RecordsSnapshot.JobSnapshot ended = job.withOutcome(Records.decodeOutcome(change.value()));
    return snapshot.withJobs(snapshot.jobs().plus(id, ended));
  }

  private static RecordsSnapshot withJob(
      RecordsSnapshot snapshot, String id, StateStoreProtocol.Change change) {
    if (snapshot.jobs().containsKey(id)) {
      return snapshot;
    }
    try {
      RecordsSnapshot.JobSnapshot job =
          RecordsSnapshot.JobSnapshot.ofAcceptedJob(
              Records.decodeJob(change.value()), Records.decodeTasksPerShard(change.value()));
      return snapshot.withJobs(snapshot.jobs().plus(id, job));
    } catch (MalformedMessageException e) {
      LOG.error("ignoring unreadable job record, job={}: {}", id, e.getMessage());
      return snapshot;
    }
  }

  private static PMap<String, RecordsSnapshot.JobSnapshot> decodeBundles(List<byte[]> chunks) {
    try {
      return RecordsSnapshotCodec.decode(chunks);
    } catch (MalformedMessageException e) {
      LOG.warn(
          "ignoring unreadable bundles of an interrupted rebuild, bundles={}: {}",
          chunks.size(),
          e.getMessage());
      return HashTreePMap.empty();
    }
  }
}
