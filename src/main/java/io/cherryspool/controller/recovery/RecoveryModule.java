package io.cherryspool.controller.recovery;

import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.election.StateStoreAccess;
import io.cherryspool.controller.metrics.RecoveryMeters;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.FencingToken;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.RecoveryStore;
import io.cherryspool.recovery.RecoveryTimings;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.recovery.SnapshotFile;
import io.cherryspool.recovery.SnapshotRepository;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RollbackDetector;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Creates and connects the components of a node that detect a loss of records and rebuild them. A
 * node without recovery in its settings creates none of them and doesn't load their classes.
 */
public final class RecoveryModule implements Lifecycle, MeterBinder {
  private final ElectionClusterNode node;
  private final Election election;
  private final Recovery recovery;
  private final RecoveryApi api;
  private final RecoveryMeters meters;
  private final Optional<SnapshotWriter> snapshots;

  /** The components and clocks that the recovery shares with the rest of the node. */
  public record Dependencies(
      EventLoop loop,
      StateStoreAccess stateStore,
      Election election,
      RandomGenerator random,
      InstantSource clock) {}

  /**
   * Creates the components.
   *
   * @param snapshotTarget where snapshots are written; empty if none are taken
   * @param snapshotInterval the time between snapshots
   */
  public RecoveryModule(
      Dependencies dependencies,
      ElectionClusterNode node,
      RecoveryTimings timings,
      Optional<SnapshotTarget> snapshotTarget,
      Duration snapshotInterval) {
    this.node = node;
    this.election = dependencies.election();
    StateStoreAccess stateStore = dependencies.stateStore();
    Optional<SnapshotRepository> repository =
        snapshotTarget.map(target -> new SnapshotRepository(target.store()));
    RecordsSnapshot newestSnapshot =
        repository
            .flatMap(SnapshotRepository::readNewest)
            .map(SnapshotFile::records)
            .orElse(RecordsSnapshot.EMPTY);
    recovery =
        new Recovery(
            dependencies.loop(),
            new RecoveryStore(dependencies.loop(), stateStore.client(), stateStore.rateLimiter()),
            stateStore.records(),
            dependencies.random(),
            timings,
            node,
            newestSnapshot);
    snapshots =
        snapshotTarget.map(
            target ->
                new SnapshotWriter(
                    dependencies.loop(),
                    stateStore.records(),
                    recovery::isServing,
                    dependencies.clock(),
                    repository.get(),
                    target.writerExecutor(),
                    snapshotInterval));
    api = new RecoveryApi(node, recovery, stateStore, snapshots);
    meters = new RecoveryMeters(recovery, stateStore.records(), snapshots.orElse(null));
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

  /** Returns the summary of the records that this node retains, for its heartbeats. */
  public Mesh.RetainedRecordsSummary retainedRecordsSummary() {
    return RetainedRecordsCodec.encode(recovery.retainedRecords());
  }

  /** Whether the records are reliable, so that this node may serve them. */
  public boolean isServing() {
    return recovery.isServing();
  }

  /** Whether this node is rebuilding lost records. */
  public boolean isRebuilding() {
    return recovery.retainedRecords().phase() == RetainedRecords.Phase.REBUILDING;
  }

  /**
   * Whether no node serves the records, as far as this node knows. While the records are being
   * rebuilt, it helps no user if the load balancer avoids a node, and the load balancer would
   * consider that node unhealthy for a long time afterwards.
   */
  public boolean hasNoServingNode() {
    return recovery.retainedRecords().phase() != RetainedRecords.Phase.STARTING
        && node.peers().stream()
            .noneMatch(peer -> peer.retainedRecords().phase() == RetainedRecords.Phase.SERVING);
  }

  /**
   * Returns when the last successful read of the identity record was sent; empty if there was none.
   * This node reads it only while it does not serve.
   */
  public Optional<Duration> lastAnsweredRequestSentAt() {
    return recovery.lastAnsweredRequestSentAt();
  }

  /** Records a term that a worker or another node has sent. */
  public void observeTerm(long term) {
    recovery.observeTerm(term);
  }

  /**
   * Reports a loss of records that was detected because a worker has a task whose start is not
   * recorded.
   *
   * @param task the task and its attempt, for the log message
   */
  public void reportUnrecordedStart(String task) {
    recovery.reportLoss(RollbackDetector.Loss.START_MISSING, task);
  }

  /**
   * Records the highest fencing token that a worker has sent in a heartbeat that this node could
   * not answer as the leader. It is used only while the records are not reliable.
   */
  public void observeUnansweredHeartbeat(WorkerHeartbeat heartbeat) {
    if (!recovery.isServing()) {
      if (heartbeat.highestFencingToken() > 0) {
        node.observeWorkerFencingToken();
      }
      election.observeTerm(FencingToken.term(heartbeat.highestFencingToken()));
    }
  }

  /** Answers a request of an operator, see {@link RecoveryApi}. */
  public CompletableFuture<Reply> handle(Request request) {
    return api.handle(request);
  }
}
