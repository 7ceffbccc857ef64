package io.cherryspool.mesh;

/**
 * The state of a node's link, as far as the node can tell. Heartbeats contain the ordinals, so the
 * order must not change.
 */
public enum LinkState {
  /** Requests are answered, or messages arrive on time. */
  UP,
  /** Something has failed, possibly by chance. */
  SUSPECT,
  /** Requests are not answered, or no messages arrive. */
  DOWN
}
