package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Detects that the state store has lost data, and takes part in rebuilding the records. While the
 * node serves, each answer of the state store is checked against the known history. When history
 * was lost, the replica is suspended, and the node either rebuilds the records or waits for the
 * rebuild of another node. Confined to the event loop.
 */
public final class Recovery implements Lifecycle {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final Replica replica;
  private final RecoveryState state;
  private final Contributions contributions;
  private final LossDetector detector;
  private final RebuildCoordinator coordinator;
  private final IncarnationMonitor monitor;
  private Optional<EventLoop.Timer> timer = Optional.empty();

  /**
   * Creates a recovery that begins with {@link #start}.
   *
   * @param replica the replica, which is suspended after a loss and then loads the records of the
   *     next incarnation
   * @param random generates the nonces of incarnations and the id of a new cluster
   * @param snapshot the records from a snapshot file that an earlier process of this node has
   *     written, or {@link RecordsSnapshot#EMPTY}
   */
  public Recovery(
      EventLoop loop,
      RecoveryStore store,
      Replica replica,
      RandomGenerator random,
      RecoveryTimings timings,
      ClusterNode node,
      RecordsSnapshot snapshot) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.state = new RecoveryState(loop, replica, node, snapshot);
    this.contributions = new Contributions(loop, store, replica, timings);
    this.detector = new LossDetector(store, replica, node, state, contributions);
    this.coordinator =
        new RebuildCoordinator(loop, store, random, timings, node, state, contributions);
    this.monitor =
        new IncarnationMonitor(
            loop,
            store,
            new PeerSurvey(node, timings, state),
            state,
            contributions,
            coordinator,
            new FirstInstallation(store, random, node));
  }

  @Override
  public void start() {
    replica.enableRollbackDetection(detector);
    state.restartWait();
    poll();
  }

  @Override
  public void stop() {
    timer.ifPresent(EventLoop.Timer::cancel);
    coordinator.stop();
  }

  private void poll() {
    timer = Optional.of(loop.schedule(POLL_INTERVAL, this::poll));
    detector.raiseMinimumRevision();
    monitor.poll();
  }

  /** Returns the description of this node's records that its heartbeats carry. */
  public RetainedRecords retainedRecords() {
    long contributedRebuild = contributions.contributedRebuild();
    if (state.isServing()) {
      Incarnation loaded = store.loadedIncarnation().orElseThrow();
      Incarnation.HistoryPosition position =
          new Incarnation.HistoryPosition(loaded.number(), replica.revision());
      return new RetainedRecords(
          state.phase(), loaded.nonce(), position, false, contributedRebuild);
    }
    RecordsSnapshot retained = state.retainedSnapshot();
    return new RetainedRecords(
        state.phase(),
        retained.nonce(),
        retained.position(),
        state.wasSoleLeader(),
        contributedRebuild);
  }

  /** Whether the records can be relied on. */
  public boolean isServing() {
    return state.isServing();
  }

  /**
   * The time at which the last successful read of the identity record was sent, empty if there was
   * none. Such reads are sent only while the node does not serve.
   */
  public Optional<Duration> lastAnsweredRequestSentAt() {
    return monitor.lastAnsweredRequestSentAt();
  }

  /** The counts of what the recovery has detected and done since the node started. */
  public RecoveryStatistics statistics() {
    return state.statistics();
  }

  /**
   * Checks a term that a worker or another node has reported. If the records lack it even after
   * another read, history was lost.
   */
  public void observeTerm(long term) {
    detector.observeTerm(term);
  }

  /** Reports a loss that the controller has detected. */
  public void reportLoss(RollbackDetector.Loss loss, String detail) {
    detector.reportLoss(loss, detail);
  }
}
