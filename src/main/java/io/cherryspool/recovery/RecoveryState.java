package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.Optional;

/**
 * The phase of this node's recovery, and the records that the node retains while it does not serve.
 * Confined to the event loop.
 */
final class RecoveryState {
  private final EventLoop loop;
  private final Replica replica;
  private final ClusterNode node;
  private final RecoveryStatistics statistics = new RecoveryStatistics();
  private RetainedRecords.Phase phase = RetainedRecords.Phase.STARTING;
  private Duration waitingSince;
  private RecordsSnapshot retainedSnapshot;
  private Optional<Incarnation> lostIncarnation = Optional.empty();
  private boolean wasSoleLeader;

  /**
   * Creates the state of a node that starts.
   *
   * @param retained the records from a snapshot file that an earlier process of this node has
   *     written, or {@link RecordsSnapshot#EMPTY}
   */
  RecoveryState(EventLoop loop, Replica replica, ClusterNode node, RecordsSnapshot retained) {
    this.loop = loop;
    this.replica = replica;
    this.node = node;
    this.retainedSnapshot = retained;
    this.waitingSince = loop.now();
  }

  RetainedRecords.Phase phase() {
    return phase;
  }

  /** The counts of what the recovery has detected and done since the node started. */
  RecoveryStatistics statistics() {
    return statistics;
  }

  /** Whether the records can be relied on. */
  boolean isServing() {
    return phase == RetainedRecords.Phase.SERVING;
  }

  /** Whether this node is rebuilding the records. */
  boolean isRebuilding() {
    return phase == RetainedRecords.Phase.REBUILDING;
  }

  /** Whether this node knows that history was lost and waits for a rebuild. */
  boolean isHolding() {
    return phase == RetainedRecords.Phase.HOLDING;
  }

  /** Whether this node waits for records that it can serve. */
  boolean isWaiting() {
    return !isServing() && !isRebuilding();
  }

  /** The time since the last call of {@link #restartWait}. */
  Duration waitingTime() {
    return loop.now().minus(waitingSince);
  }

  /** Restarts the waiting time at zero. */
  void restartWait() {
    waitingSince = loop.now();
  }

  /** The records that this node retains while it does not serve; empty while it serves. */
  RecordsSnapshot retainedSnapshot() {
    return retainedSnapshot;
  }

  /** Whether this node retains records of any incarnation. */
  boolean hasRetainedRecords() {
    return retainedSnapshot.position().incarnationNumber() >= 0;
  }

  /** Whether the records that this node retains belong to this incarnation. */
  boolean hasRetainedRecordsOf(Incarnation incarnation) {
    return retainedSnapshot.position().incarnationNumber() == incarnation.number()
        && retainedSnapshot.nonce().equals(incarnation.nonce());
  }

  /** The incarnation whose loss this node has detected, empty if there is none. */
  Optional<Incarnation> lostIncarnation() {
    return lostIncarnation;
  }

  /** Whether an identity record is of the incarnation whose loss this node has detected. */
  boolean isLost(Incarnation record) {
    return lostIncarnation.isPresent() && isSameRebuild(lostIncarnation.get(), record);
  }

  /**
   * Whether this node was the leader with a certainly valid lease when it detected the loss. It
   * then knows every start of a task.
   */
  boolean wasSoleLeader() {
    return wasSoleLeader;
  }

  /**
   * Records the loss of an incarnation and stops serving.
   *
   * @param loss the evidence of the loss
   * @param incarnation the incarnation that was lost, empty if none was loaded yet
   * @param isSoleLeader whether this node was the sole leader and knows every start of a task
   */
  void recordLoss(
      RollbackDetector.Loss loss, Optional<Incarnation> incarnation, boolean isSoleLeader) {
    statistics.recordLoss(loss);
    lostIncarnation = incarnation;
    wasSoleLeader = isSoleLeader;
    retainReplica();
    hold();
  }

  /** Retains the records in the replica. Must be called before the replica is suspended. */
  void retainReplica() {
    // A snapshot file may contain records that the replica lacks, even if the replica has the later
    // position. Both are valid, so they are merged.
    retainedSnapshot = SnapshotMerge.merge(retainedSnapshot, replica.snapshot());
  }

  /** Stops serving until the records have been rebuilt. */
  void hold() {
    phase = RetainedRecords.Phase.HOLDING;
    restartWait();
    replica.suspend();
    node.onServingChanged();
  }

  /** Stops waiting for the first load because the records were lost or are being rebuilt. */
  void holdIfStarting() {
    if (phase == RetainedRecords.Phase.STARTING) {
      hold();
    }
  }

  /**
   * Makes the replica load the records of an incarnation. The replica then calls {@link
   * RollbackDetector#onRecordsLoaded}.
   */
  void load(StateStoreClient.IncarnationReading reading) {
    replica.switchTo(reading.incarnation(), reading.version(), reading.revision());
  }

  /** Whether the replica is loading records. */
  boolean isLoading() {
    return replica.isLoading();
  }

  /** Starts serving the records that the replica has loaded. */
  void serve() {
    statistics.recordServing(waitingTime());
    phase = RetainedRecords.Phase.SERVING;
    lostIncarnation = Optional.empty();
    wasSoleLeader = false;
  }

  /** Drops the retained records. Called once the served records contain them. */
  void clearRetained() {
    retainedSnapshot = RecordsSnapshot.EMPTY;
  }

  /** Enters the rebuilding phase. */
  void beginRebuild() {
    statistics.countRebuild();
    phase = RetainedRecords.Phase.REBUILDING;
  }

  /**
   * Leaves the rebuilding phase. After a rebuild that was superseded, the waiting time restarts,
   * because another node may retain more records. After a finished rebuild, this node need not wait
   * again.
   */
  void endRebuild(boolean isFinished) {
    phase = RetainedRecords.Phase.HOLDING;
    if (!isFinished) {
      restartWait();
    }
  }

  /** Whether two identity records are of the same rebuild, whatever its progress. */
  private static boolean isSameRebuild(Incarnation one, Incarnation other) {
    return one.number() == other.number() && one.nonce().equals(other.nonce());
  }
}
