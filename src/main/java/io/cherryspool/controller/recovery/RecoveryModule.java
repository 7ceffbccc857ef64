package io.cherryspool.controller.recovery;

import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.metrics.RecoveryMeters;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.FencingToken;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.RecoveryTimings;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.recovery.SnapshotFile;
import io.cherryspool.recovery.SnapshotRepository;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector;
import io.cherryspool.store.StateStoreClient;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * All that a node has for losses of its state, wired together. A node that does not look for losses
 * has none of it, and loads none of its classes.
 */
public final class RecoveryModule implements Lifecycle, MeterBinder {
  private final ElectionClusterNode node;
  private final Election election;
  private final Recovery recovery;
  private final RecoveryApi api;
  private final RecoveryMeters meters;
  private final Optional<SnapshotWriter> snapshots;

  /** What the controller works with, and the recovery as well. */
  public record Dependencies(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      Replica replica,
      Election election,
      RandomGenerator random,
      InstantSource clock) {}

  /**
   * @param support where snapshots go, if they are taken
   * @param interval how often they are
   */
  public RecoveryModule(
      Dependencies shared,
      ElectionClusterNode node,
      RecoveryTimings timings,
      Optional<SnapshotTarget> support,
      Duration interval) {
    this.node = node;
    this.election = shared.election();
    Optional<SnapshotRepository> kept = support.map(given -> new SnapshotRepository(given.store()));
    RecordsSnapshot newest =
        kept.flatMap(SnapshotRepository::readNewest)
            .map(SnapshotFile::records)
            .orElse(RecordsSnapshot.EMPTY);
    recovery =
        new Recovery(
            shared.loop(),
            shared.client(),
            shared.rateLimiter(),
            shared.replica(),
            shared.random(),
            timings,
            node,
            newest);
    snapshots =
        support.map(
            given ->
                new SnapshotWriter(
                    shared.loop(),
                    shared.replica(),
                    recovery::isServing,
                    shared.clock(),
                    kept.get(),
                    given.writerExecutor(),
                    interval));
    SnapshotWriter writer = snapshots.orElse(null);
    api =
        new RecoveryApi(
            node, recovery, shared.replica(), shared.client(), shared.rateLimiter(), writer);
    meters = new RecoveryMeters(recovery, shared.replica(), writer);
  }

  @Override
  public void start() {
    recovery.start();
    election.onPrematureLeaseExpiry(
        () -> recovery.reportLoss(RollbackDetector.Loss.LEASE_FORGOTTEN, "this node's lease"));
    snapshots.ifPresent(SnapshotWriter::start);
  }

  @Override
  public void stop() {
    recovery.stop();
    snapshots.ifPresent(SnapshotWriter::stop);
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    meters.bindTo(registry);
  }

  /** What heartbeats tell of this node. */
  public Mesh.RetainedRecordsSummary retainedRecordsSummary() {
    return RetainedRecordsCodec.encode(recovery.retainedRecords());
  }

  public boolean isServing() {
    return recovery.isServing();
  }

  /** Whether this node rebuilds lost records. */
  public boolean isRebuilding() {
    return recovery.retainedRecords().phase() == RetainedRecords.Phase.REBUILDING;
  }

  /**
   * Whether nobody can read the records, as far as is known: while they are rebuilt, being passed
   * over helps no user, and a node that was counts as unhealthy long after.
   */
  public boolean hasNoServingNode() {
    return recovery.retainedRecords().phase() != RetainedRecords.Phase.STARTING
        && node.peers().stream()
            .noneMatch(peer -> peer.retainedRecords().phase() == RetainedRecords.Phase.SERVING);
  }

  /** When the last request that succeeded while not serving was sent; null if none was. */
  public Duration lastAnsweredRequestSentAt() {
    return recovery.lastAnsweredRequestSentAt();
  }

  public void observeTerm(long term) {
    recovery.observeTerm(term);
  }

  /** A worker has a task of which the records know no such start. */
  public void reportUnrecordedStart(String task) {
    recovery.reportLoss(RollbackDetector.Loss.START_MISSING, task);
  }

  /** A report that comes while nobody leads tells at least what was once given out. */
  public void observeUnansweredHeartbeat(WorkerHeartbeat report) {
    if (!recovery.isServing()) {
      if (report.highestFencingToken() > 0) {
        node.observeWorkerToken();
      }
      election.observeTerm(FencingToken.term(report.highestFencingToken()));
    }
  }

  public CompletableFuture<Reply> handle(Request request) {
    return api.handle(request);
  }
}
