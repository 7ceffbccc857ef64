package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How the length of a lease follows the penalty. */
class LeaseLengthTest {
  private static final Duration SHORTEST = Duration.ofSeconds(4);
  private static final Duration LONGEST = Duration.ofSeconds(14);

  private final LeaseLength length = new LeaseLength(SHORTEST, LONGEST);

  @Test
  void growsWithThePenaltyAndHealsLater() {
    assertEquals(SHORTEST, length.forPenalty(0));
    assertEquals(SHORTEST, length.forPenalty(1), "a first loss costs what it always did");
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.9));
    assertEquals(LONGEST, length.forPenalty(2.6));
    assertEquals(LONGEST, length.forPenalty(2.2), "not with each small change");
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.9));
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.1));
    assertEquals(SHORTEST, length.forPenalty(0.9));
  }

  /** The time for which a leader may answer workers bounds what a cancel may outlast. */
  @Test
  void isNeverLongerThanTheAuthority() {
    LeaseLength narrow = new LeaseLength(SHORTEST, Duration.ofSeconds(5));
    assertEquals(Duration.ofSeconds(5), narrow.forPenalty(2));
    assertEquals(Duration.ofSeconds(5), narrow.forPenalty(9));
  }
}
