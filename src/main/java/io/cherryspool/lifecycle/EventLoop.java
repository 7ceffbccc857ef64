package io.cherryspool.lifecycle;

import java.time.Duration;

/**
 * The one thread on which a node's state lives, and its monotonic clock. Nothing that runs on it
 * may block. The simulation gives the same code a virtual one.
 */
public interface EventLoop {

  /** Monotonic time since some fixed moment of this process. */
  Duration now();

  /** Runs the task once after the delay, unless it is cancelled before. */
  Timer schedule(Duration delay, Runnable task);

  /** A task that waits for its time. */
  @FunctionalInterface
  interface Timer {
    void cancel();
  }
}
