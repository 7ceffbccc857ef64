package io.cherryspool.model;

/** Fencing tokens: the leader's term in the high bits, its round in the low ones, below 2^63. */
public final class FencingToken {
  private static final int ROUND_BITS = 32;

  private FencingToken() {}

  public static long of(long term, long round) {
    if (term < 0 || term >= 1L << 31 || round < 0 || round >= 1L << ROUND_BITS) {
      throw new IllegalArgumentException("term " + term + ", round " + round);
    }
    return term << ROUND_BITS | round;
  }

  public static long term(long token) {
    return token >>> ROUND_BITS;
  }
}
