package io.cherryspool.store;

import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.Collection;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What is left in the state service of an incarnation that is no longer served. */
public final class OrphanedRecords {
  private static final Logger LOG = LoggerFactory.getLogger(OrphanedRecords.class);

  private OrphanedRecords() {}

  /**
   * The jobs and the term that the keys tell of the incarnation. Bundles of a rebuild that was cut
   * off count as far as they go: they are parts of a picture that was true.
   */
  public static RecordsSnapshot read(
      Collection<StateStoreProtocol.Event> physical, Incarnation incarnation) {
    KeySpace space = new KeySpace();
    space.enter(incarnation, 0);
    IncarnationRecords left = IncarnationRecords.parse(physical, space);
    RecordIndex index = new RecordIndex(space);
    SnapshotTracker keeper = new SnapshotTracker(index);
    index.watch(keeper);
    index.replaceAll(jobs(left.firstChunks()).values(), left.records());
    return new RecordsSnapshot(
        incarnation.cluster(),
        incarnation.nonce(),
        Incarnation.HistoryPosition.NONE,
        index.term(),
        index.catalogRecord(),
        keeper.jobs());
  }

  /** The picture with a job or an end that was written on its own, unless it is known already. */
  public static RecordsSnapshot withCommitted(
      RecordsSnapshot picture, StateStoreProtocol.Change change) {
    String key = change.key();
    if (key.startsWith(Records.OUTCOMES)) {
      String id = key.substring(Records.OUTCOMES.length());
      RecordsSnapshot.JobSnapshot known = picture.jobs().get(id);
      return known == null || known.outcome() != null
          ? picture
          : picture.withJobs(
              picture.jobs().plus(id, known.withOutcome(Records.decodeOutcome(change.value()))));
    }
    String id = key.startsWith(Records.JOBS) ? key.substring(Records.JOBS.length()) : null;
    if (id == null || picture.jobs().containsKey(id)) {
      return picture;
    }
    try {
      RecordsSnapshot.JobSnapshot job =
          RecordsSnapshot.JobSnapshot.accepted(
              Records.decodeJob(change.value()), Records.decodeTasksPerShard(change.value()));
      return picture.withJobs(picture.jobs().plus(id, job));
    } catch (MalformedMessageException e) {
      LOG.error("the record of job {} is unreadable: {}", id, e.getMessage());
      return picture;
    }
  }

  private static PMap<String, RecordsSnapshot.JobSnapshot> jobs(List<byte[]> chunks) {
    try {
      return RecordsSnapshotCodec.decode(chunks);
    } catch (MalformedMessageException e) {
      LOG.warn("{} bundles that were left can't be read: {}", chunks.size(), e.getMessage());
      return HashTreePMap.empty();
    }
  }
}
