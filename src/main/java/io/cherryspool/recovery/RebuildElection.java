package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether this node should rebuild. The former leader, which knows every start, is
 * preferred, then the node that retains the latest records. The decision only orders the nodes: if
 * two nodes begin at the same time, the condition on the version of the identity record lets only
 * one of them continue. Confined to the event loop.
 */
final class RebuildElection {
  private final EventLoop loop;
  private final RecoveryTimings timings;
  private final ClusterNode node;
  private final RecoveryState state;

  /** The nonce of the last rebuild by another node that this node has seen. */
  private String observedNonce = "";

  /** The time at which the rebuild with {@link #observedNonce} was first seen. */
  private Duration observedSince = Duration.ZERO;

  RebuildElection(EventLoop loop, RecoveryTimings timings, ClusterNode node, RecoveryState state) {
    this.loop = loop;
    this.timings = timings;
    this.node = node;
    this.state = state;
  }

  /**
   * Whether this node should rebuild now. It waits for a preferred node that can't reach the state
   * store, but only for a limited time.
   *
   * @param record the identity record in the state store, empty if there is none
   */
  boolean shouldRebuild(Optional<Incarnation> record) {
    Duration waitingTime = state.waitingTime();
    if (waitingTime.compareTo(timings.gatheringTime()) < 0) {
      return false;
    }
    if (record.isPresent() && !shouldReplace(record.get()) && mayBeInProgress(record.get())) {
      return false;
    }
    boolean isWithinMaxWait = waitingTime.compareTo(timings.maxWait()) < 0;
    for (Peer peer : node.peers()) {
      if (isPreferred(peer) && shouldWaitFor(peer, isWithinMaxWait)) {
        return false;
      }
    }
    return state.hasRetainedRecords() || !isWithinMaxWait;
  }

  /**
   * Whether this node should replace an unfinished rebuild by its own, because the rebuild started
   * from older records than this node retains. A rebuilder that knows every start is replaced only
   * by a node that knows every start as well.
   */
  private boolean shouldReplace(Incarnation record) {
    return record.phase() == Incarnation.Phase.REBUILDING
        && (state.wasSoleLeader() || !record.isComplete())
        && state.retainedSnapshot().position().compareTo(record.origin()) > 0;
  }

  private boolean shouldWaitFor(Peer peer, boolean isWithinMaxWait) {
    // A node that still serves detects the loss by the revision in this node's heartbeats, except
    // if only a report of a worker has shown the loss. In that case the state store still contains
    // everything that the other node has acknowledged. The rebuild reads it there, so this node
    // waits no longer.
    boolean isServing = peer.retainedRecords().phase() == RetainedRecords.Phase.SERVING;
    return (peer.isStateStoreReachable() || isWithinMaxWait)
        && !(isServing && state.waitingTime().compareTo(timings.twiceGatheringTime()) > 0);
  }

  /**
   * Whether another node may still be working on this rebuild. A rebuilder that sends no heartbeats
   * gets twice the gathering time, because nodes that can't reach one another may all reach the
   * state store.
   */
  private boolean mayBeInProgress(Incarnation record) {
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
   * Whether the other node should rebuild rather than this one. The former leader is preferred
   * because it knows every start; the other nodes contribute the writes that it lacks. Among the
   * other nodes, the one that retains the latest records is preferred, and among those with equal
   * records the one with the lowest name.
   */
  private boolean isPreferred(Peer peer) {
    RetainedRecords peerRecords = peer.retainedRecords();
    if (peerRecords.wasSoleLeader() != state.wasSoleLeader()) {
      return peerRecords.wasSoleLeader();
    }
    int order = peerRecords.position().compareTo(state.retainedSnapshot().position());
    return order > 0 || (order == 0 && peer.node().compareTo(node.name()) < 0);
  }
}
