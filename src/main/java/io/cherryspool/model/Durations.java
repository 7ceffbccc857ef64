package io.cherryspool.model;

import java.time.Duration;

/**
 * Multiples and parts of durations in plain arithmetic of nanoseconds.
 *
 * <p>{@link Duration#multipliedBy} and {@link Duration#dividedBy} go through {@code BigDecimal},
 * which made up a tenth of a leader's Java time where they were called for each machine.
 */
public final class Durations {
  private Durations() {}

  /**
   * @throws ArithmeticException beyond 292 years
   */
  public static Duration multiply(Duration duration, int factor) {
    return Duration.ofNanos(Math.multiplyExact(duration.toNanos(), factor));
  }

  /** Rounded down to a nanosecond. */
  public static Duration divide(Duration duration, int divisor) {
    return Duration.ofNanos(duration.toNanos() / divisor);
  }
}
