package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Whether this node itself kept up. What it did not hear while it stood still or was behind is
 * nobody's silence: it may wait in its sockets, unread.
 */
public final class LocalHealth {
  private final Duration tolerance;
  private Duration due;
  private Duration steadySince;

  /**
   * @param tolerance how late a step may come
   */
  public LocalHealth(Duration tolerance) {
    this.tolerance = tolerance;
  }

  /** A step runs now; the next one is due after this pause. */
  public void recordStep(Duration now, Duration pause) {
    if (due == null || now.minus(due).compareTo(tolerance) > 0) {
      steadySince = now;
    }
    due = now.plus(pause);
  }

  /** The next step will come after this pause, counted from now, instead of when it was due. */
  public void postpone(Duration now, Duration pause) {
    due = now.plus(pause);
  }

  /** What was heard until now tells nothing of the links, for another reason. */
  public void reset(Duration now) {
    steadySince = now;
  }

  /** For how long all steps came in time. */
  public Duration steadyFor(Duration now) {
    return steadySince == null ? Duration.ZERO : now.minus(steadySince);
  }
}
