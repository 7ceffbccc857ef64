package io.cherryspool.sim.fakes;

import java.time.Duration;

/** Limits the rate of operations. Bursts may use up to the tokens of one second. */
final class TokenBucket {
  private final double ratePerSecond;
  private double tokens;
  private Duration refilledAt;

  /** Creates a full bucket. */
  TokenBucket(double ratePerSecond, Duration now) {
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
    this.refilledAt = now;
  }

  /**
   * Takes {@code count} tokens and returns true, or takes none and returns false if too few exist.
   */
  boolean tryTake(int count, Duration now) {
    double newTokens = ratePerSecond * now.minus(refilledAt).toNanos() / 1e9;
    tokens = Math.min(ratePerSecond, tokens + newTokens);
    refilledAt = now;
    if (tokens < count) {
      return false;
    }
    tokens -= count;
    return true;
  }
}
