package io.cherryspool.model;

/**
 * Computes fencing tokens: the leader's term in the high 31 bits and its round in the low 32, so
 * that tokens are below 2^63 and those of a later term or round are higher. A worker refuses
 * commands under a lower token than the highest that it has received.
 */
public final class FencingToken {
  private static final int ROUND_BITS = 32;
  private static final int TERM_BITS = 31;

  private FencingToken() {}

  /**
   * The token of a term's round.
   *
   * @throws IllegalArgumentException if the term or the round is negative or exceeds its bits
   */
  public static long of(long term, long round) {
    if (term < 0 || term >= 1L << TERM_BITS || round < 0 || round >= 1L << ROUND_BITS) {
      throw new IllegalArgumentException("term " + term + ", round " + round);
    }
    return term << ROUND_BITS | round;
  }

  /** The term that the token belongs to. */
  public static long term(long token) {
    return token >>> ROUND_BITS;
  }
}
