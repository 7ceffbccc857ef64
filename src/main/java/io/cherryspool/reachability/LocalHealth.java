package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Measures for how long this node has run its periodic ticks on time. While a node is stalled or
 * falls behind, messages from others may be waiting unread in its sockets, so the absence of a
 * message then says nothing about its sender. Confined to the event loop.
 */
public final class LocalHealth {
  private final Duration maxTickDelay;
  private Duration nextTickDue;
  private Duration healthySince;

  /**
   * Creates the health of a node that has run no tick yet.
   *
   * @param maxTickDelay how late a tick may be for the node to count as healthy
   */
  public LocalHealth(Duration maxTickDelay) {
    this.maxTickDelay = maxTickDelay;
  }

  /** Records that a tick runs now and that the next one is due after the interval. */
  public void recordTick(Duration now, Duration interval) {
    if (nextTickDue == null || now.minus(nextTickDue).compareTo(maxTickDelay) > 0) {
      healthySince = now;
    }
    nextTickDue = now.plus(interval);
  }

  /** Postpones the next tick, so that it is due after this interval from now. */
  public void postpone(Duration now, Duration interval) {
    nextTickDue = now.plus(interval);
  }

  /**
   * Restarts the healthy time from now, because what this node received before says nothing about
   * its links.
   */
  public void reset(Duration now) {
    healthySince = now;
  }

  /** Returns for how long all ticks have run on time; zero before the first tick. */
  public Duration healthyFor(Duration now) {
    return healthySince == null ? Duration.ZERO : now.minus(healthySince);
  }
}
