package io.cherryspool.mesh;

/** What a node makes of one of its links. */
public enum LinkState {
  /** Requests are answered, or messages arrive as they should. */
  UP,
  /** Something failed, which may be chance. */
  SUSPECT,
  /** Nothing gets through. */
  DOWN
}
