package io.cherryspool.controller.ownership;

import io.cherryspool.model.FencingToken;

/** The tokens of one term. Only the leader of the term makes them, and they only grow. */
public final class FencingTokenSource {
  private final long term;
  private long round = 1;

  public FencingTokenSource(long term) {
    this.term = term;
  }

  /** Below every token of this term, and above every token of earlier ones. */
  public long termBase() {
    return FencingToken.of(term, 0);
  }

  public long current() {
    return FencingToken.of(term, round);
  }

  /** Starts the next round. Messages of earlier rounds then no longer count at the workers. */
  public void advance() {
    round++;
  }
}
