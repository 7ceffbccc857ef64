package io.cherryspool.sim.fakes;

import java.time.Duration;

/** Allows a rate of operations, in bursts of up to one second's worth. */
final class TokenBucket {
  private final double ratePerSecond;
  private double tokens;
  private Duration refilledAt;

  /** A bucket that is full at this moment. */
  TokenBucket(double ratePerSecond, Duration now) {
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
    this.refilledAt = now;
  }

  /** Takes the tokens of so many operations; false, and takes none, if they are not there. */
  boolean tryTake(int count, Duration now) {
    double earned = ratePerSecond * now.minus(refilledAt).toNanos() / 1e9;
    tokens = Math.min(ratePerSecond, tokens + earned);
    refilledAt = now;
    if (tokens < count) {
      return false;
    }
    tokens -= count;
    return true;
  }
}
