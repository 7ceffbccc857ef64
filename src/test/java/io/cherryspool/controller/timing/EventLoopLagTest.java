package io.cherryspool.controller.timing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
  private static final Duration NEXT = Duration.ofMillis(100);

  @Test
  void aTimerThatRunsLateShowsALoopThatIsBehind() {
    EventLoopLag backlog = new EventLoopLag();
    assertFalse(backlog.isBehind());
    backlog.onTimerFired(Duration.ofSeconds(5), NEXT);
    assertFalse(backlog.isBehind(), "nothing is known yet");
    backlog.onTimerFired(Duration.ofMillis(5140), NEXT);
    assertFalse(backlog.isBehind(), "40 ms are usual");
    backlog.onTimerFired(Duration.ofMillis(5300), NEXT);
    assertTrue(backlog.isBehind(), "60 ms late");
    backlog.onTimerFired(Duration.ofMillis(5400), NEXT);
    assertFalse(backlog.isBehind(), "on time again");
  }
}
