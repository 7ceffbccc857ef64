package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;

/**
 * Evaluates what the other nodes' heartbeats say about the records. The results only decide when
 * this node acts after a loss; they are no evidence of a loss. Confined to the event loop.
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

  /** Whether every other node has sent a heartbeat recently. */
  boolean hasHeartbeatsOfAllPeers() {
    return node.peers().size() == node.peerCount();
  }

  /**
   * Whether this node may load records. A starting node first waits for the other nodes'
   * heartbeats, because they may show that the records in the state store are too old.
   */
  boolean mayLoadRecords() {
    return state.isHolding()
        || state.waitingTime().compareTo(timings.gatheringTime()) > 0
        || hasHeartbeatsOfAllPeers();
  }

  /**
   * Whether another node has stopped serving this incarnation because its records can't be relied
   * on.
   */
  boolean hasPeerStoppedServing(Incarnation record) {
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
  boolean hasPeerWithRecords() {
    for (Peer peer : node.peers()) {
      if (peer.retainedRecords().hasRecords()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether this node may assume that no node retains any records. It waits for the maximum time,
   * but only for the gathering time if all nodes are reachable and a worker has reported a fencing
   * token: workers lose their tasks unless a leader is elected soon.
   */
  boolean mayAssumeNoRetainedRecords() {
    return state.waitingTime().compareTo(timings.maxWait()) > 0
        || (state.waitingTime().compareTo(timings.gatheringTime()) > 0
            && hasHeartbeatsOfAllPeers()
            && node.hasWorkerReportedToken());
  }
}
