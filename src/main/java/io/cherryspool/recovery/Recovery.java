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
 * This node's part in detecting that the state store has lost data, and in rebuilding the records.
 * While the node serves, each answer of the store is checked against what is known; once history is
 * lost, the replica is suspended, and the node either rebuilds or waits for the one that retains
 * the most. Confined to the event loop.
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
   * A recovery that begins with {@link #start}.
   *
   * @param replica suspended while history is lost, and resumed with the records of the next
   *     incarnation
   * @param random draws the nonces of incarnations
   * @param snapshot the records of a snapshot file of an earlier process of this node, or {@link
   *     RecordsSnapshot#EMPTY}
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

  /** What this node sends to the others with its heartbeats. */
  public RetainedRecords retainedRecords() {
    long contributedRebuild = contributions.contributedRebuild();
    if (state.isServing()) {
      Incarnation present = store.loadedIncarnation().orElseThrow();
      Incarnation.HistoryPosition position =
          new Incarnation.HistoryPosition(present.number(), replica.revision());
      return new RetainedRecords(
          state.phase(), present.nonce(), position, false, contributedRebuild);
    }
    RecordsSnapshot retained = state.retained();
    return new RetainedRecords(
        state.phase(),
        retained.nonce(),
        retained.position(),
        state.wasSoleLeader(),
        contributedRebuild);
  }

  /** Whether the records may be relied on. */
  public boolean isServing() {
    return state.isServing();
  }

  /** When the last request that succeeded while not serving was sent; empty if none was. */
  public Optional<Duration> lastAnsweredRequestSentAt() {
    return monitor.lastAnsweredRequestSentAt();
  }

  /** What has happened since the node started. */
  public RecoveryStatistics statistics() {
    return state.statistics();
  }

  /**
   * Checks a term that a worker or another node has shown. One that the records lack even after
   * another read proves that history was lost.
   */
  public void observeTerm(long term) {
    detector.observeTerm(term);
  }

  /** Takes in a proof of lost history that the controller has found. */
  public void reportLoss(RollbackDetector.Loss loss, String detail) {
    detector.reportLoss(loss, detail);
  }
}
