package io.cherryspool.store;

import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Collection;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the records that the state store still holds of an incarnation no longer served. */
public final class OrphanedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanedRecords.class);

  private OrphanedRecords() {}

  /**
   * The jobs, the term and the catalog of an incarnation. Bundles of an interrupted rebuild are
   * used up to the first that is missing: they are parts of a snapshot that was true.
   *
   * @param entries all keys, under the names that the state store has for them
   * @return a snapshot without a position in the history, since it may lack records
   */
  public static RecordsSnapshot read(
      Collection<StateStoreProtocol.Event> entries, Incarnation incarnation) {
    KeySpace keySpace = new KeySpace();
    keySpace.enter(incarnation, 0);
    IncarnationRecords left = IncarnationRecords.parse(entries, keySpace);
    RecordIndex index = new RecordIndex(keySpace);
    SnapshotTracker tracker = new SnapshotTracker(index.jobs());
    index.jobs().addListener(tracker);
    index.replaceAll(decode(left.leadingChunks()).values(), left.records());
    return new RecordsSnapshot(
        incarnation.cluster(),
        incarnation.nonce(),
        Incarnation.HistoryPosition.NONE,
        index.term(),
        index.catalogRecord(),
        tracker.jobs());
  }

  /**
   * The snapshot with the job or outcome that a single change wrote. The same snapshot if it holds
   * that already, if the outcome is of a job that it lacks, or if the record is unreadable.
   */
  public static RecordsSnapshot withCommitted(
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
          RecordsSnapshot.JobSnapshot.accepted(
              Records.decodeJob(change.value()), Records.decodeTasksPerShard(change.value()));
      return snapshot.withJobs(snapshot.jobs().plus(id, job));
    } catch (MalformedMessageException e) {
      LOG.error("unreadable record, job={}: {}", id, e.getMessage());
      return snapshot;
    }
  }

  private static PMap<String, RecordsSnapshot.JobSnapshot> decode(List<byte[]> chunks) {
    try {
      return RecordsSnapshotCodec.decode(chunks);
    } catch (MalformedMessageException e) {
      LOG.warn(
          "unreadable bundles of an interrupted rebuild, bundles={}: {}",
          chunks.size(),
          e.getMessage());
      return HashTreePMap.empty();
    }
  }
}
