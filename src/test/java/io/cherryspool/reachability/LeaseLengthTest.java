package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how the length of a lease depends on the penalty. */
class LeaseLengthTest {
  private static final Duration SHORTEST = Duration.ofSeconds(4);
  private static final Duration LONGEST = Duration.ofSeconds(14);

  private final LeaseLength length = new LeaseLength(SHORTEST, LONGEST);

  @Test
  void growsWithThePenaltyAndShrinksAsItDecays() {
    assertEquals(SHORTEST, length.forPenalty(0));
    assertEquals(SHORTEST, length.forPenalty(1), "a single loss does not change the length");
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.9));
    assertEquals(LONGEST, length.forPenalty(2.6));
    assertEquals(LONGEST, length.forPenalty(2.2), "hysteresis keeps the length");
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.9));
    assertEquals(SHORTEST.multipliedBy(2), length.forPenalty(1.1));
    assertEquals(SHORTEST, length.forPenalty(0.9));
  }

  /**
   * The longest length is the time for which a leader may answer workers without the state store.
   * That time bounds how long a cancellation may have no effect.
   */
  @Test
  void isNeverLongerThanTheLongestLength() {
    LeaseLength narrow = new LeaseLength(SHORTEST, Duration.ofSeconds(5));
    assertEquals(Duration.ofSeconds(5), narrow.forPenalty(2));
    assertEquals(Duration.ofSeconds(5), narrow.forPenalty(9));
  }
}
