package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.OrphanedRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshot.JobSnapshot;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Preserves the writes that this node has acknowledged to users and that other nodes may not know.
 * It adds them to a rebuild of another node, or to the rebuilt records if this node could not take
 * part in the rebuild. Confined to the event loop.
 */
final class Contributions {
  private static final Logger LOG = LoggerFactory.getLogger(Contributions.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final ClusterRecords replica;
  private final RecoveryTimings timings;
  private final RecentWrites recentWrites = new RecentWrites();
  private long contributedRebuild;
  private boolean isContributing;

  Contributions(
      EventLoop loop, RecoveryStore store, ClusterRecords replica, RecoveryTimings timings) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.timings = timings;
  }

  /**
   * Keeps the jobs and outcomes of a transaction that this node has committed and will acknowledge
   * to users.
   */
  void recordApplied(List<StateStoreProtocol.Change> changes, long revision) {
    recentWrites.removeUpTo(replica.revision());
    recentWrites.add(changes, revision);
  }

  /**
   * The jobs and outcomes that this node has committed and that the replica does not contain yet.
   */
  List<StateStoreProtocol.Change> recentWrites() {
    return recentWrites.changes();
  }

  /**
   * The incarnation number of the last rebuild that this node has contributed to, 0 before the
   * first.
   */
  long contributedRebuild() {
    return contributedRebuild;
  }

  /**
   * Writes the jobs and outcomes that this node has acknowledged to users and that the rebuilt
   * records lack. They are missing if this node could not take part in the rebuild.
   *
   * @param retained the records that this node retained while it did not serve
   * @param isServing whether the records can still be relied on; if not, writing stops
   * @return the number of records that are missing and will be written
   */
  int addMissingRecords(RecordsSnapshot retained, BooleanSupplier isServing) {
    RecordsSnapshot expectedRecords = retained;
    for (StateStoreProtocol.Change change : recentWrites.changes()) {
      expectedRecords = OrphanedRecords.withChange(expectedRecords, change);
    }
    recentWrites.clear();
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    for (Map.Entry<String, JobSnapshot> item : expectedRecords.jobs().entrySet()) {
      addIfMissing(item.getKey(), item.getValue(), changes);
    }
    if (!changes.isEmpty()) {
      LOG.warn("adding records that the rebuild lacks: records={}", changes.size());
      changes.forEach(change -> addMissingRecord(change, isServing));
    }
    return changes.size();
  }

  private void addIfMissing(String id, JobSnapshot job, List<StateStoreProtocol.Change> changes) {
    JobRecord servedJob = replica.job(id);
    if (servedJob == null) {
      changes.add(
          new StateStoreProtocol.Change(
              Records.jobKey(id), Records.encodeJob(job.job(), job.tasksPerShard()), 0));
    }
    if (job.outcome() != null && (servedJob == null || servedJob.outcome() == null)) {
      changes.add(
          new StateStoreProtocol.Change(
              Records.outcomeKey(id), Records.encodeOutcome(job.outcome()), 0));
    }
  }

  private void addMissingRecord(StateStoreProtocol.Change change, BooleanSupplier isServing) {
    if (!isServing.getAsBoolean()) {
      return;
    }
    if (!store.rateLimiter().tryAcquireWrites(RateLimiter.WriteClass.SUBMIT, 1)) {
      loop.schedule(RETRY_DELAY, () -> addMissingRecord(change, isServing));
      return;
    }
    store
        .client()
        .commit(Map.of(change.key(), 0L), List.of(change))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY_DELAY, () -> addMissingRecord(change, isServing));
              }
            });
  }

  /**
   * Adds the last writes of this node to a rebuild that another node has begun, once for each
   * rebuild. A failed write is not retried before the next call.
   */
  void contribute(Incarnation rebuild, long rebuildVersion) {
    if (contributedRebuild == rebuild.number() || isContributing) {
      return;
    }
    List<StateStoreProtocol.Change> logicalChanges = new ArrayList<>(recentWrites.changes());
    if (hasLoadedOriginOf(rebuild)) {
      logicalChanges.addAll(replica.immutableRecordsSince(rebuild.origin().revision()));
    }
    if (logicalChanges.isEmpty()) {
      contributedRebuild = rebuild.number();
      return;
    }
    List<StateStoreProtocol.Change> physicalChanges = new ArrayList<>();
    for (StateStoreProtocol.Change change : logicalChanges) {
      physicalChanges.add(
          new StateStoreProtocol.Change(rebuild.toPhysicalKey(change.key()), change.value(), 0));
    }
    isContributing = true;
    writeContributions(rebuild, rebuildVersion, physicalChanges);
  }

  /** Whether the replica contains records of the incarnation that the rebuild started from. */
  private boolean hasLoadedOriginOf(Incarnation rebuild) {
    long origin = rebuild.origin().incarnationNumber();
    return store.loadedIncarnation().filter(loaded -> loaded.number() == origin).isPresent();
  }

  private void writeContributions(
      Incarnation rebuild, long rebuildVersion, List<StateStoreProtocol.Change> changes) {
    int count = Math.min(changes.size(), timings.maxTransactionChanges() / 2);
    store
        .commit(rebuildVersion, changes.subList(0, count))
        .whenComplete(
            (result, failure) -> {
              if (failure != null || !result.isApplied()) {
                isContributing = false;
              } else if (count < changes.size()) {
                writeContributions(rebuild, rebuildVersion, changes.subList(count, changes.size()));
              } else {
                isContributing = false;
                contributedRebuild = rebuild.number();
              }
            });
  }
}
