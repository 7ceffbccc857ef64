package io.cherryspool.controller;

import java.time.Duration;

/**
 * Whether the event loop is behind, by how late a timer of its own runs. What can wait then leaves
 * the processor to reports and renewals.
 */
final class Backlog {
  private static final Duration LATE = Duration.ofMillis(50);

  private Duration due;
  private boolean behind;

  /** The timer runs now, and is to run again after so long. */
  void ran(Duration now, Duration next) {
    behind = due != null && now.minus(due).compareTo(LATE) > 0;
    due = now.plus(next);
  }

  boolean behind() {
    return behind;
  }
}
