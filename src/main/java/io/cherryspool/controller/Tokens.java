package io.cherryspool.controller;

import io.cherryspool.model.FencingToken;

/** The tokens of one term. Only the leader of the term makes them, and they only grow. */
final class Tokens {
  private final long term;
  private long round = 1;

  Tokens(long term) {
    this.term = term;
  }

  /** Below every token of this term, and above every token of earlier ones. */
  long base() {
    return FencingToken.of(term, 0);
  }

  long current() {
    return FencingToken.of(term, round);
  }

  /** Starts the next round. Messages of earlier rounds then no longer count at the workers. */
  void next() {
    round++;
  }
}
