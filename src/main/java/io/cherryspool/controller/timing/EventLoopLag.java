package io.cherryspool.controller.timing;

import java.time.Duration;

/**
 * Whether the event loop is behind, by how late a timer of its own runs. What can wait then leaves
 * the processor to reports and renewals.
 */
public final class EventLoopLag {
  private static final Duration LATE = Duration.ofMillis(50);

  private Duration due;
  private boolean isBehind;

  /** The timer runs now, and is to run again after so long. */
  public void timerFired(Duration now, Duration next) {
    isBehind = due != null && now.minus(due).compareTo(LATE) > 0;
    due = now.plus(next);
  }

  public boolean isBehind() {
    return isBehind;
  }
}
