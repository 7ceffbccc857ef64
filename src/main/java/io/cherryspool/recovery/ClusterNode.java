package io.cherryspool.recovery;

import java.util.List;

/**
 * The controller's interface for the recovery: the state of this node and what it knows of the
 * other nodes. All methods are called on the event loop.
 */
public interface ClusterNode {
  /** This node's name. */
  String name();

  /** The other nodes that have sent a heartbeat recently. */
  List<Peer> peers();

  /** The number of other nodes, reachable or not. */
  int peerCount();

  /** The highest term that this node knows from the records, other nodes or workers; 0 if none. */
  long highestKnownTerm();

  /**
   * Whether this node is the leader and its lease is certainly still valid, so that no other node
   * can be the leader.
   */
  boolean isSoleLeader();

  /**
   * Whether a worker has reported a fencing token. Workers get tokens only from a leader, so this
   * shows that the cluster has served before.
   */
  boolean hasWorkerReportedToken();

  /** Called when the records can no longer be relied on, and when they can be relied on again. */
  void onServingChanged();
}
