package io.cherryspool.model;

/**
 * Computes fencing tokens. A token contains the leader's term in its high 31 bits and the number of
 * the round in its low 32 bits, so that tokens are below 2^63 and those of later terms and rounds
 * are higher. A worker rejects commands with a token lower than the highest that it has received.
 */
public final class FencingToken {
  private static final int ROUND_BITS = 32;
  private static final int TERM_BITS = 31;

  private FencingToken() {}

  /**
   * Returns the token of a round of a term.
   *
   * @throws IllegalArgumentException if the term or the round is negative or does not fit into its
   *     bits
   */
  public static long of(long term, long round) {
    if (term < 0 || term >= 1L << TERM_BITS || round < 0 || round >= 1L << ROUND_BITS) {
      throw new IllegalArgumentException(
          "term or round of a fencing token out of range: term=" + term + ", round=" + round);
    }
    return term << ROUND_BITS | round;
  }

  /** Returns the term to which the token belongs. */
  public static long term(long token) {
    return token >>> ROUND_BITS;
  }
}
