package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How the penalty of a link grows and decays. */
class FlapDamperTest {
  private final FlapDamper damper = new FlapDamper(Duration.ofSeconds(60));

  private static Duration at(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  @Test
  void thePenaltyGrowsByOneAndHalves() {
    damper.recordFlap(at(10));
    assertEquals(1, damper.penalty(at(10)), 1e-9);
    assertEquals(0.5, damper.penalty(at(70)), 1e-9);
    damper.recordFlap(at(70));
    assertEquals(1.5, damper.penalty(at(70)), 1e-9);
    assertEquals(2, damper.flapCount());
  }

  /** Between the two thresholds it stays what it was. */
  @Test
  void flappingBeginsAndEndsAtDifferentPenalties() {
    damper.recordFlap(at(0));
    assertFalse(damper.isFlapping(at(0)), "a first failure is judged as ever");
    damper.recordFlap(at(0.5));
    damper.recordFlap(at(1));
    assertTrue(damper.isFlapping(at(1)));
    assertTrue(damper.isFlapping(at(60)), "1.5 is still too much");
    assertFalse(damper.isFlapping(at(100)), "it heals");
    damper.recordFlap(at(100));
    assertFalse(damper.isFlapping(at(100)), "1.9 is not enough to begin");
  }
}
