package io.cherryspool.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class BacklogTest {
  private static final Duration NEXT = Duration.ofMillis(100);

  @Test
  void aTimerThatRunsLateShowsALoopThatIsBehind() {
    Backlog backlog = new Backlog();
    assertFalse(backlog.behind());
    backlog.ran(Duration.ofSeconds(5), NEXT);
    assertFalse(backlog.behind(), "nothing is known yet");
    backlog.ran(Duration.ofMillis(5140), NEXT);
    assertFalse(backlog.behind(), "40 ms are usual");
    backlog.ran(Duration.ofMillis(5300), NEXT);
    assertTrue(backlog.behind(), "60 ms late");
    backlog.ran(Duration.ofMillis(5400), NEXT);
    assertFalse(backlog.behind(), "on time again");
  }
}
