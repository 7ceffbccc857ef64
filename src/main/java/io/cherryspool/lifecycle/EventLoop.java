package io.cherryspool.lifecycle;

import java.time.Duration;

/**
 * The one thread on which a node's state lives, and its monotonic clock. Tasks on it must not
 * block. The simulation runs the same code on a virtual one.
 */
public interface EventLoop {

  /** Monotonic time since some fixed moment of this process. */
  Duration now();

  /**
   * Runs the task once after the delay, unless it is cancelled before; a negative delay counts as
   * none. May be called from any thread.
   */
  Timer schedule(Duration delay, Runnable task);

  /** A task that waits for its time. */
  @FunctionalInterface
  interface Timer {
    /** Keeps the task from running; has no effect once it has begun. */
    void cancel();
  }
}
