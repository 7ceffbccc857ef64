package io.cherryspool.controller.ownership;

import io.cherryspool.model.FencingToken;

/**
 * The fencing tokens of one term, one a round. Only the leader of the term makes them, and they
 * only grow. Used on the event loop only.
 */
public final class FencingTokenSource {
  private final long term;
  private long round = 1;

  /** Begins with the first round of the term. */
  public FencingTokenSource(long term) {
    this.term = term;
  }

  /** Below every token of this term, and above every token of earlier ones. */
  public long termBase() {
    return FencingToken.of(term, 0);
  }

  /** The token of the present round, under which commands and replies are sent. */
  public long current() {
    return FencingToken.of(term, round);
  }

  /**
   * Begins the next round. A worker that has received its token ignores messages of earlier rounds.
   */
  public void advance() {
    round++;
  }
}
