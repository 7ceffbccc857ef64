package io.cherryspool.controller.timing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
  private static final Duration INTERVAL = Duration.ofMillis(100);

  @Test
  void theEventLoopIsBehindWhileItsTimerFiresLate() {
    EventLoopLag lag = new EventLoopLag();
    assertFalse(lag.isBehind());
    lag.onTimerFired(Duration.ofSeconds(5), INTERVAL);
    assertFalse(lag.isBehind(), "the first firing has no expected time");
    lag.onTimerFired(Duration.ofMillis(5140), INTERVAL);
    assertFalse(lag.isBehind(), "40 ms late is within the limit");
    lag.onTimerFired(Duration.ofMillis(5300), INTERVAL);
    assertTrue(lag.isBehind(), "60 ms late");
    lag.onTimerFired(Duration.ofMillis(5400), INTERVAL);
    assertFalse(lag.isBehind(), "on time again");
  }
}
