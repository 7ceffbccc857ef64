package io.cherryspool.reachability;

import java.time.Duration;

/**
 * How long a leader's lease is to be. Where leaders whose processes live on lose their lease again
 * and again, because their links flap, the next one takes a longer lease, which outlasts the flaps.
 * The first loss, and a second one well after it, change nothing. No lease is longer than the time
 * for which a leader may answer workers without the state store anyway. Confined to the event loop.
 */
final class LeaseLength {
  /** From this penalty on the lease is twice as long. */
  private static final double DOUBLE_FROM_PENALTY = 1.5;

  /** From this penalty on it is as long as it may be. */
  private static final double LONGEST_FROM_PENALTY = 2.5;

  /** So far below a threshold a penalty must fall before the lease becomes shorter again. */
  private static final double HYSTERESIS = 0.5;

  private final Duration shortest;
  private final Duration longest;

  /** 0 for the shortest length, 1 for twice that, 2 for the longest. */
  private int level;

  /**
   * Lengths between two bounds, at first the shortest.
   *
   * @param shortest the length while leaders do not change often
   * @param longest the bound on every length
   */
  LeaseLength(Duration shortest, Duration longest) {
    this.shortest = shortest;
    this.longest = longest;
  }

  /** The length for the penalty as it is now; hysteresis makes it depend on earlier calls. */
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
