package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Determines the length of a leader's lease. If leaders repeatedly lose their lease while their
 * processes keep running, because their links flap, the next leader takes a longer lease, which
 * outlasts the flaps. One loss, or a second one long after the first, does not change the length.
 * No lease is longer than the time for which a leader may answer workers without the state store:
 * after that time it must stop answering them even if its lease is still valid. Confined to the
 * event loop.
 */
final class LeaseLength {
  /** From this penalty on, the lease is twice as long as the shortest one. */
  private static final double DOUBLE_FROM_PENALTY = 1.5;

  /** From this penalty on, the lease has the longest length. */
  private static final double LONGEST_FROM_PENALTY = 2.5;

  /** How far the penalty must fall below a threshold before the lease becomes shorter again. */
  private static final double HYSTERESIS = 0.5;

  private final Duration shortest;
  private final Duration longest;

  /** The present length: 0 for the shortest, 1 for twice that, 2 for the longest. */
  private int level;

  /**
   * Creates a lease length that begins with the shortest.
   *
   * @param shortest the length while leaders change rarely
   * @param longest the upper bound of the length
   */
  LeaseLength(Duration shortest, Duration longest) {
    this.shortest = shortest;
    this.longest = longest;
  }

  /**
   * Returns the length for the present penalty. Because of the hysteresis it depends on earlier
   * calls as well.
   */
  Duration forPenalty(double penalty) {
    level = Math.max(level(penalty), Math.min(level, level(penalty + HYSTERESIS)));
    Duration length =
        switch (level) {
          case 0 -> shortest;
          case 1 -> shortest.multipliedBy(2);
          default -> longest;
        };
    return length.compareTo(longest) < 0 ? length : longest;
  }

  private static int level(double penalty) {
    if (penalty < DOUBLE_FROM_PENALTY) {
      return 0;
    }
    return penalty < LONGEST_FROM_PENALTY ? 1 : 2;
  }
}
