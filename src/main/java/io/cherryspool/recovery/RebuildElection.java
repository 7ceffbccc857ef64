package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether it is this node's turn to rebuild: the node that knows of every start first, then
 * the one that retains the latest records. The decision only orders the nodes; where two begin at
 * once, the condition on the incarnation's record lets one of them pass. Confined to the event
 * loop.
 */
final class RebuildElection {
  private final EventLoop loop;
  private final RecoveryTimings timings;
  private final ClusterNode node;
  private final RecoveryState state;

  /** The rebuild of another node that was last seen, and since when. */
  private String observedNonce = "";

  private Duration observedSince = Duration.ZERO;

  RebuildElection(EventLoop loop, RecoveryTimings timings, ClusterNode node, RecoveryState state) {
    this.loop = loop;
    this.timings = timings;
    this.node = node;
    this.state = state;
  }

  /**
   * Whether this node is to rebuild now. A node that retains more and can't reach the store is
   * waited for, but not for good.
   *
   * @param record the incarnation's record in the store, empty if there is none
   */
  boolean shouldRebuild(Optional<Incarnation> record) {
    Duration waited = state.waited();
    if (waited.compareTo(timings.gatheringTime()) < 0) {
      return false;
    }
    if (record.isPresent() && !isBetterThanRebuild(record.get()) && isUnderWay(record.get())) {
      return false;
    }
    boolean isPatient = waited.compareTo(timings.maxWait()) < 0;
    for (Peer peer : node.peers()) {
      if (isBetter(peer) && isWaitedFor(peer, isPatient)) {
        return false;
      }
    }
    return state.hasRetainedRecords() || !isPatient;
  }

  /** Whether this node retains more than a rebuild that is under way started from. */
  private boolean isBetterThanRebuild(Incarnation record) {
    return record.phase() == Incarnation.Phase.REBUILDING
        && (state.wasSoleLeader() || !record.isComplete())
        && state.retained().position().compareTo(record.origin()) > 0;
  }

  private boolean isWaitedFor(Peer peer, boolean isPatient) {
    // A node that still serves detects the loss by this node's revision, unless only workers show
    // it; then all that it has answered is in what the store holds, which the rebuild reads.
    boolean isServing = peer.retainedRecords().phase() == RetainedRecords.Phase.SERVING;
    return (peer.isStateStoreReachable() || isPatient)
        && !(isServing && state.waited().compareTo(timings.twiceGatheringTime()) > 0);
  }

  /**
   * Whether another node may still be at this rebuild. One that sends no heartbeats gets some time,
   * because nodes that can't reach one another may all reach the store.
   */
  private boolean isUnderWay(Incarnation record) {
    if (record.phase() != Incarnation.Phase.REBUILDING) {
      return false;
    }
    if (!record.nonce().equals(observedNonce)) {
      observedNonce = record.nonce();
      observedSince = loop.now();
    }
    for (Peer peer : node.peers()) {
      if (peer.node().equals(record.rebuilder())) {
        return peer.retainedRecords().phase() == RetainedRecords.Phase.REBUILDING;
      }
    }
    return !record.rebuilder().equals(node.name())
        && loop.now().minus(observedSince).compareTo(timings.twiceGatheringTime()) < 0;
  }

  /**
   * Whether the other node is the better rebuilder. The former leader knows of every start, and the
   * others add what they answered beyond its records. Of the rest, the one that retains the latest
   * records; ties are broken by name.
   */
  private boolean isBetter(Peer peer) {
    RetainedRecords theirs = peer.retainedRecords();
    if (theirs.wasSoleLeader() != state.wasSoleLeader()) {
      return theirs.wasSoleLeader();
    }
    int order = theirs.position().compareTo(state.retained().position());
    return order > 0 || (order == 0 && peer.node().compareTo(node.name()) < 0);
  }
}
