package io.cherryspool.reachability;

/**
 * Determines what a node does about the state of its links. Implementations must be pure functions.
 */
@FunctionalInterface
public interface VerdictRule {
  /** Returns the verdict for a node with this view. */
  Verdict evaluate(NodeView view);
}
