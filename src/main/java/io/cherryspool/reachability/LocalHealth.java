package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Whether this node itself kept up. What it did not receive while it stood still or was behind is
 * nobody's silence: it may wait in its sockets, unread. Confined to the event loop.
 */
public final class LocalHealth {
  private final Duration maxTickDelay;
  private Duration nextTickDue;
  private Duration healthySince;

  /**
   * The health of a node that has run no step yet.
   *
   * @param maxTickDelay how late a step may be
   */
  public LocalHealth(Duration maxTickDelay) {
    this.maxTickDelay = maxTickDelay;
  }

  /** Records that a step runs now; the next one is due after the interval. */
  public void recordTick(Duration now, Duration interval) {
    if (nextTickDue == null || now.minus(nextTickDue).compareTo(maxTickDelay) > 0) {
      healthySince = now;
    }
    nextTickDue = now.plus(interval);
  }

  /** Moves the next step to this interval from now, instead of when it was due. */
  public void postpone(Duration now, Duration interval) {
    nextTickDue = now.plus(interval);
  }

  /** Counts the steady time from now, because what was received before tells nothing of links. */
  public void reset(Duration now) {
    healthySince = now;
  }

  /** For how long all steps have run in time; zero before the first. */
  public Duration healthyFor(Duration now) {
    return healthySince == null ? Duration.ZERO : now.minus(healthySince);
  }
}
