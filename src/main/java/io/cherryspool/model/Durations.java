package io.cherryspool.model;

import java.time.Duration;

/**
 * Multiplies and divides durations as whole nanoseconds.
 *
 * <p>{@link Duration#multipliedBy} and {@link Duration#dividedBy} use {@code BigDecimal}, which
 * took a tenth of a leader's Java time where they were called for each machine.
 */
public final class Durations {
  private Durations() {}

  /**
   * The duration multiplied by the factor.
   *
   * @throws ArithmeticException if the result exceeds 2^63 nanoseconds, about 292 years
   */
  public static Duration multiply(Duration duration, int factor) {
    return Duration.ofNanos(Math.multiplyExact(duration.toNanos(), factor));
  }

  /** The duration divided by the divisor, rounded towards zero to a nanosecond. */
  public static Duration divide(Duration duration, int divisor) {
    return Duration.ofNanos(duration.toNanos() / divisor);
  }
}
