package io.cherryspool.reachability;

import java.time.Duration;

/**
 * How long a leader's lease is to be. Where leaders that live lose their lease again and again,
 * since their links flap, the next one takes a longer lease, which outlasts the flaps. The first
 * loss, and a second one well after it, cost what they always did. No lease is longer than the time
 * for which a leader may answer workers without the state service anyway.
 */
final class LeaseLength {
  private static final double TWICE_FROM = 1.5;
  private static final double LONGEST_FROM = 2.5;

  /** A penalty must fall so far below a threshold before the lease becomes shorter again. */
  private static final double HYSTERESIS = 0.5;

  private final Duration shortest;
  private final Duration longest;
  private int level;

  LeaseLength(Duration shortest, Duration longest) {
    this.shortest = shortest;
    this.longest = longest;
  }

  /** The length for the penalty as it is now. */
  Duration forPenalty(double penalty) {
    level = Math.max(level(penalty), Math.min(level, level(penalty + HYSTERESIS)));
    Duration wanted =
        switch (level) {
          case 0 -> shortest;
          case 1 -> shortest.multipliedBy(2);
          default -> longest;
        };
    return wanted.compareTo(longest) < 0 ? wanted : longest;
  }

  private static int level(double penalty) {
    return penalty < TWICE_FROM ? 0 : penalty < LONGEST_FROM ? 1 : 2;
  }
}
