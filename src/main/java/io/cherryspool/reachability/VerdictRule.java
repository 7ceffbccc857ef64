package io.cherryspool.reachability;

/** How a node's links are judged: a pure function. */
@FunctionalInterface
public interface VerdictRule {
  /** What the node does about its links. */
  Verdict evaluate(NodeView view);
}
