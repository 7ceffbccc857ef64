package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;

/**
 * What the other nodes' heartbeats say of the records. It orders what this node does about a loss
 * and proves nothing. Confined to the event loop.
 */
final class PeerSurvey {
  private final ClusterNode node;
  private final RecoveryTimings timings;
  private final RecoveryState state;

  PeerSurvey(ClusterNode node, RecoveryTimings timings, RecoveryState state) {
    this.node = node;
    this.timings = timings;
    this.state = state;
  }

  /** Whether every other node has sent a heartbeat lately. */
  boolean isComplete() {
    return node.peers().size() == node.peerCount();
  }

  /**
   * Whether this node may load records. A starting node waits for the others' heartbeats first,
   * which may tell that the records are too old.
   */
  boolean mayLoadRecords() {
    return state.isHolding()
        || state.waited().compareTo(timings.gatheringTime()) > 0
        || isComplete();
  }

  /** Whether another node knows that the records of this incarnation are not to be relied on. */
  boolean isHeldByAnother(Incarnation record) {
    for (Peer peer : node.peers()) {
      RetainedRecords retained = peer.retainedRecords();
      if (retained.belongsTo(record) && isHolding(retained.phase())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isHolding(RetainedRecords.Phase phase) {
    return phase == RetainedRecords.Phase.HOLDING || phase == RetainedRecords.Phase.REBUILDING;
  }

  /** Whether another node retains records of any incarnation. */
  boolean isAnyRetaining() {
    for (Peer peer : node.peers()) {
      if (peer.retainedRecords().hasRecords()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether it is known that no node retains anything. Workers that have served lose their tasks
   * unless a leader is elected soon, so that no more time is spent once all nodes are reachable.
   */
  boolean isKnownThatNoneRetains() {
    return state.waited().compareTo(timings.maxWait()) > 0
        || (state.waited().compareTo(timings.gatheringTime()) > 0
            && isComplete()
            && node.hasWorkerReportedToken());
  }
}
