package io.cherryspool.lifecycle;

import java.time.Duration;

/**
 * The event loop of a node: the single thread that accesses the node's state, and a monotonic
 * clock. Tasks on the loop must not block. The simulation runs the same code on an event loop with
 * virtual time.
 */
public interface EventLoop {

  /** Returns the monotonic time since an arbitrary fixed moment of this process. */
  Duration now();

  /**
   * Runs the task once after the delay, unless it is cancelled first. A negative delay counts as
   * zero. May be called from any thread.
   */
  Timer schedule(Duration delay, Runnable task);

  /** A scheduled task. */
  @FunctionalInterface
  interface Timer {
    /** Cancels the task. Has no effect once the task has started. */
    void cancel();
  }
}
