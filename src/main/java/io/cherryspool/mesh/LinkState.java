package io.cherryspool.mesh;

/** What a node concludes about one of its links. Heartbeats carry the ordinals. */
public enum LinkState {
  /** Requests are answered, or messages arrive on time. */
  UP,
  /** Something failed, which may be chance. */
  SUSPECT,
  /** Nothing gets through. */
  DOWN
}
