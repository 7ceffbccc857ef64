package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.OrphanedRecords;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node has told users and others may not know: its last writes, which it adds to a
 * rebuild of another node, or to the rebuilt records if it could not take part.
 */
final class Contributions {
  private static final Logger LOG = LoggerFactory.getLogger(Contributions.class);
  private static final Duration RETRY = Duration.ofMillis(250);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final ClusterRecords replica;
  private final RecoveryTimings timings;
  private final RecentWrites recentWrites = new RecentWrites();
  private long contributedRebuild;
  private boolean contributing;

  Contributions(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      ClusterRecords replica,
      RecoveryTimings timings) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
    this.timings = timings;
  }

  /** A transaction of this node was applied, so that its users are told. */
  void recordApplied(List<StateStoreProtocol.Change> changes, long revision) {
    recentWrites.removeUpTo(replica.revision());
    recentWrites.add(changes, revision);
  }

  /** The jobs and ends that the copy does not hold yet. */
  List<StateStoreProtocol.Change> recentWrites() {
    return recentWrites.all();
  }

  /** The number of the last rebuild that this node has added to. */
  long contributedRebuild() {
    return contributedRebuild;
  }

  /**
   * Writes what this node has told users and the rebuilt records do not have, which happens where
   * it could not take part in the rebuild.
   *
   * @return how many records it adds
   */
  int addMissingRecords(RecordsSnapshot memory, BooleanSupplier serving) {
    RecordsSnapshot known = memory;
    for (StateStoreProtocol.Change change : recentWrites.all()) {
      known = OrphanedRecords.withCommitted(known, change);
    }
    recentWrites.clear();
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    known
        .jobs()
        .forEach(
            (id, job) -> {
              JobRecord entry = replica.job(id);
              if (entry == null) {
                changes.add(
                    new StateStoreProtocol.Change(
                        Records.jobKey(id), Records.encodeJob(job.job(), job.tasksPerShard()), 0));
              }
              if (job.outcome() != null && (entry == null || entry.outcome() == null)) {
                changes.add(
                    new StateStoreProtocol.Change(
                        Records.outcomeKey(id), Records.encodeOutcome(job.outcome()), 0));
              }
            });
    if (!changes.isEmpty()) {
      LOG.warn("adding {} records that the rebuild did not know", changes.size());
      changes.forEach(change -> addMissingRecords(change, serving));
    }
    return changes.size();
  }

  private void addMissingRecords(StateStoreProtocol.Change change, BooleanSupplier serving) {
    if (!serving.getAsBoolean()) {
      return;
    }
    if (!rateLimiter.tryAcquireWrites(RateLimiter.WriteClass.SUBMIT, 1)) {
      loop.schedule(RETRY, () -> addMissingRecords(change, serving));
      return;
    }
    client
        .commit(Map.of(change.key(), 0L), List.of(change))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY, () -> addMissingRecords(change, serving));
              }
            });
  }

  /** Adds what this node told users last to the rebuild that another one has begun. */
  void contribute(Incarnation record, long version) {
    if (contributedRebuild == record.number() || contributing) {
      return;
    }
    List<StateStoreProtocol.Change> known = new ArrayList<>(recentWrites.all());
    Incarnation remembered = client.keySpace().incarnation();
    if (remembered != null && remembered.number() == record.origin().incarnationNumber()) {
      known.addAll(replica.immutableRecordsSince(record.origin().revision()));
    }
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    for (StateStoreProtocol.Change change : known) {
      changes.add(
          new StateStoreProtocol.Change(record.toPhysical(change.key()), change.value(), 0));
    }
    if (changes.isEmpty()) {
      contributedRebuild = record.number();
      return;
    }
    contributing = true;
    addContributions(record, version, changes);
  }

  private void addContributions(
      Incarnation record, long version, List<StateStoreProtocol.Change> changes) {
    int count = Math.min(changes.size(), timings.maxTransactionChanges() / 2);
    List<StateStoreProtocol.Change> batch = changes.subList(0, count);
    rateLimiter.forceAcquire(count);
    client
        .commitPhysical(Map.of(Incarnation.KEY, version), batch)
        .whenComplete(
            (result, failure) -> {
              if (failure != null || !result.applied()) {
                contributing = false;
              } else if (count < changes.size()) {
                addContributions(record, version, changes.subList(count, changes.size()));
              } else {
                contributing = false;
                contributedRebuild = record.number();
              }
            });
  }
}
