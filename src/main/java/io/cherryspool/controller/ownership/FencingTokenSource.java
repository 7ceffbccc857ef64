package io.cherryspool.controller.ownership;

import io.cherryspool.model.FencingToken;

/**
 * Issues the fencing tokens of one term, one per round. Only the leader of the term issues them,
 * and each is higher than the one before. Used on the event loop only.
 */
public final class FencingTokenSource {
  private final long term;
  private long round = 1;

  /** Creates a source that begins with the token of the term's first round. */
  public FencingTokenSource(long term) {
    this.term = term;
  }

  /** Returns the term of the tokens. */
  public long term() {
    return term;
  }

  /** Returns a value below every token of this term and above every token of earlier terms. */
  public long termBase() {
    return FencingToken.of(term, 0);
  }

  /** Returns the token of the current round, under which commands and replies are sent. */
  public long current() {
    return FencingToken.of(term, round);
  }

  /**
   * Moves to the token of the next round. A worker that has received that token ignores messages
   * with lower tokens.
   */
  public void advance() {
    round++;
  }
}
