package io.cherryspool.controller.timing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
  private static final Duration NEXT = Duration.ofMillis(100);

  @Test
  void theEventLoopIsBehindWhileItsTimerFiresLate() {
    EventLoopLag lag = new EventLoopLag();
    assertFalse(lag.isBehind());
    lag.onTimerFired(Duration.ofSeconds(5), NEXT);
    assertFalse(lag.isBehind(), "the first firing has no expected time");
    lag.onTimerFired(Duration.ofMillis(5140), NEXT);
    assertFalse(lag.isBehind(), "40 ms late is within the limit");
    lag.onTimerFired(Duration.ofMillis(5300), NEXT);
    assertTrue(lag.isBehind(), "60 ms late");
    lag.onTimerFired(Duration.ofMillis(5400), NEXT);
    assertFalse(lag.isBehind(), "on time again");
  }
}
