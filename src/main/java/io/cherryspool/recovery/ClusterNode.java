package io.cherryspool.recovery;

import java.util.List;

/** What a recovery asks of the controller that it is part of. Called on the event loop. */
public interface ClusterNode {
  /** This node's name. */
  String name();

  /** The other nodes whose heartbeats are fresh. */
  List<Peer> peers();

  /** How many other nodes there are, reachable or not. */
  int peerCount();

  /** The highest term known, from the records, other nodes or workers; 0 before any. */
  long highestKnownTerm();

  /** Whether this node leads by a lease that surely holds, so that no other node does. */
  boolean isSoleLeader();

  /**
   * Whether a worker has shown a fencing token, which only an installation that served has given
   * out.
   */
  boolean hasWorkerReportedToken();

  /** Called when the records are not to be relied on any more, or may be again. */
  void onServingChanged();
}
