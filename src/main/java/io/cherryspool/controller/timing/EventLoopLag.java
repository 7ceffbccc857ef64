package io.cherryspool.controller.timing;

import java.time.Duration;

/**
 * Whether the event loop is behind, by how late a timer of its own fires. While it is, what can
 * wait leaves the processor to heartbeats and renewals. Used on that event loop only.
 */
public final class EventLoopLag {
  private static final Duration MAX_TIMER_DELAY = Duration.ofMillis(50);

  /** When the timer should fire next, null before it first did. */
  private Duration due;

  private boolean isBehind;

  /** Records that the timer fires now and is scheduled to fire again after the interval. */
  public void timerFired(Duration now, Duration interval) {
    isBehind = due != null && now.minus(due).compareTo(MAX_TIMER_DELAY) > 0;
    due = now.plus(interval);
  }

  /** Whether the timer last fired late. */
  public boolean isBehind() {
    return isBehind;
  }
}
