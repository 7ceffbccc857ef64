package io.cherryspool.recovery;

import java.util.List;

/** What a recovery asks of the controller that it is part of. */
public interface ClusterNode {
  String name();

  /** The other nodes that were heard of lately. */
  List<Peer> peers();

  /** How many other nodes there are. */
  int peerCount();

  /** The highest term that was heard of, from the records, other nodes or workers. */
  long highestKnownTerm();

  /** Whether this node leads by a lease that surely holds, so that nobody else does. */
  boolean isSoleLeader();

  /** Whether a worker has shown a token, which only an installation that served has given out. */
  boolean hasWorkerShownToken();

  /** The records are not to be relied on any more, or again. */
  void onServingChanged();
}
