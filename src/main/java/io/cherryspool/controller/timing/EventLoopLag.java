package io.cherryspool.controller.timing;

import java.time.Duration;

/**
 * Detects whether the event loop is behind schedule, by how late a periodic timer fires on it.
 * While the event loop is behind, work that can wait is reduced in favour of heartbeats and lease
 * renewals. Used on that event loop only.
 */
public final class EventLoopLag {
  private static final Duration MAX_TIMER_DELAY = Duration.ofMillis(50);

  /** When the timer should fire next, null before it first fired. */
  private Duration expectedAt;

  private boolean isBehind;

  /** Records that the timer fires now and is scheduled to fire again after the interval. */
  public void onTimerFired(Duration now, Duration interval) {
    isBehind = expectedAt != null && now.minus(expectedAt).compareTo(MAX_TIMER_DELAY) > 0;
    expectedAt = now.plus(interval);
  }

  /** Whether the timer last fired late. */
  public boolean isBehind() {
    return isBehind;
  }
}
