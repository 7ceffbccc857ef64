package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how the penalty of a link grows and decays. */
class FlapDamperTest {
  private final FlapDamper damper = new FlapDamper(Duration.ofSeconds(60));

  private static Duration at(double seconds) {
    return Duration.ofMillis((long) (seconds * 1000));
  }

  @Test
  void thePenaltyGrowsByOneWithEachFlapAndDecays() {
    damper.recordFlap(at(10));
    assertEquals(1, damper.penalty(at(10)), 1e-9);
    assertEquals(0.5, damper.penalty(at(70)), 1e-9);
    damper.recordFlap(at(70));
    assertEquals(1.5, damper.penalty(at(70)), 1e-9);
    assertEquals(2, damper.flapCount());
  }

  /** Between the two thresholds the result stays the same. */
  @Test
  void flappingBeginsAndEndsAtDifferentPenalties() {
    damper.recordFlap(at(0));
    assertFalse(damper.isFlapping(at(0)), "a single flap is not flapping");
    damper.recordFlap(at(0.5));
    damper.recordFlap(at(1));
    assertTrue(damper.isFlapping(at(1)));
    assertTrue(damper.isFlapping(at(60)), "a penalty of 1.5 is still too high");
    assertFalse(damper.isFlapping(at(100)), "the penalty has decayed");
    damper.recordFlap(at(100));
    assertFalse(damper.isFlapping(at(100)), "a penalty of 1.9 is too low to begin");
  }
}
