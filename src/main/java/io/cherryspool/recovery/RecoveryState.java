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
 * The phase of this node's recovery, and what it retains of records that it no longer serves.
 * Confined to the event loop.
 */
final class RecoveryState {
  private final EventLoop loop;
  private final Replica replica;
  private final ClusterNode node;
  private final RecoveryStatistics statistics = new RecoveryStatistics();
  private RetainedRecords.Phase phase = RetainedRecords.Phase.STARTING;
  private Duration waitingSince;
  private RecordsSnapshot retained;
  private Optional<Incarnation> lostIncarnation = Optional.empty();
  private boolean wasSoleLeader;

  /**
   * The state of a node that starts.
   *
   * @param retained the records of a snapshot file of an earlier process of this node, or {@link
   *     RecordsSnapshot#EMPTY}
   */
  RecoveryState(EventLoop loop, Replica replica, ClusterNode node, RecordsSnapshot retained) {
    this.loop = loop;
    this.replica = replica;
    this.node = node;
    this.retained = retained;
    this.waitingSince = loop.now();
  }

  RetainedRecords.Phase phase() {
    return phase;
  }

  /** What has happened since the node started. */
  RecoveryStatistics statistics() {
    return statistics;
  }

  /** Whether the records may be relied on. */
  boolean isServing() {
    return phase == RetainedRecords.Phase.SERVING;
  }

  /** Whether this node rebuilds the records now. */
  boolean isRebuilding() {
    return phase == RetainedRecords.Phase.REBUILDING;
  }

  /** Whether this node knows that history was lost, and waits for the rebuild. */
  boolean isHolding() {
    return phase == RetainedRecords.Phase.HOLDING;
  }

  /** Whether this node waits for records that it can serve. */
  boolean isWaiting() {
    return !isServing() && !isRebuilding();
  }

  /** For how long this node has been in the present phase, counted from the last restart. */
  Duration waited() {
    return loop.now().minus(waitingSince);
  }

  /** Counts the waiting time from now on. */
  void restartWait() {
    waitingSince = loop.now();
  }

  /** What this node retains of records that it does not serve; empty while it serves. */
  RecordsSnapshot retained() {
    return retained;
  }

  /** Whether this node retains records of any incarnation. */
  boolean hasRetainedRecords() {
    return retained.position().incarnationNumber() >= 0;
  }

  /** Whether what this node retains is of this incarnation. */
  boolean isRetainedFrom(Incarnation incarnation) {
    return retained.position().incarnationNumber() == incarnation.number()
        && retained.nonce().equals(incarnation.nonce());
  }

  /** The incarnation whose loss this node has detected; empty if it has detected none. */
  Optional<Incarnation> lostIncarnation() {
    return lostIncarnation;
  }

  /** Whether the record is of the incarnation whose loss this node has detected. */
  boolean isLost(Incarnation record) {
    return lostIncarnation.isPresent() && isSameRebuild(lostIncarnation.get(), record);
  }

  /**
   * Whether this node led by a lease that surely held when it detected the loss, so that it knows
   * of every start that was ever commanded.
   */
  boolean wasSoleLeader() {
    return wasSoleLeader;
  }

  /**
   * Records the loss of an incarnation, and stops serving.
   *
   * @param loss the sign by which it was detected
   * @param incarnation the incarnation that was lost, empty if none was loaded yet
   * @param soleLeader whether this node knows of every start in it
   */
  void loseIncarnation(
      RollbackDetector.Loss loss, Optional<Incarnation> incarnation, boolean soleLeader) {
    statistics.recordLoss(loss);
    lostIncarnation = incarnation;
    wasSoleLeader = soleLeader;
    retainReplica();
    hold();
  }

  /** Retains what the replica holds, before it is suspended. */
  void retainReplica() {
    // A snapshot file may hold what the records lack although they reach further: both are true.
    retained = SnapshotMerge.merge(retained, replica.snapshot());
  }

  /** Stops serving until the records have been rebuilt. */
  void hold() {
    phase = RetainedRecords.Phase.HOLDING;
    restartWait();
    replica.suspend();
    node.onServingChanged();
  }

  /** Stops waiting for the first load, since the records were lost or are being rebuilt. */
  void holdIfStarting() {
    if (phase == RetainedRecords.Phase.STARTING) {
      hold();
    }
  }

  /** Loads the records of an incarnation into the replica, which then reports them as loaded. */
  void load(StateStoreClient.IncarnationReading reading) {
    replica.enter(reading.incarnation(), reading.version(), reading.revision());
  }

  /** Whether the replica is loading records. */
  boolean isLoading() {
    return replica.isLoading();
  }

  /** Serves the records that the replica has loaded. */
  void serve() {
    statistics.recordServing(waited());
    phase = RetainedRecords.Phase.SERVING;
    lostIncarnation = Optional.empty();
    wasSoleLeader = false;
  }

  /** Drops what is retained, once the served records hold it. */
  void clearRetained() {
    retained = RecordsSnapshot.EMPTY;
  }

  /** This node begins to rebuild the records. */
  void beginRebuild() {
    statistics.countRebuild();
    phase = RetainedRecords.Phase.REBUILDING;
  }

  /**
   * This node's rebuild has ended. After one that was superseded this node waits anew, because
   * another one may retain more records; otherwise its next attempt need not wait again.
   */
  void endRebuild(boolean isFinished) {
    phase = RetainedRecords.Phase.HOLDING;
    if (!isFinished) {
      restartWait();
    }
  }

  /** Whether two records tell of one rebuild, whatever its progress. */
  private static boolean isSameRebuild(Incarnation one, Incarnation other) {
    return one.number() == other.number() && one.nonce().equals(other.nonce());
  }
}
