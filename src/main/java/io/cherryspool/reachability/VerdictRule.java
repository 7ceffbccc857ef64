package io.cherryspool.reachability;

/** How a node's links are judged: a pure function. */
@FunctionalInterface
public interface VerdictRule {
  Verdict judge(NodeView view);
}
