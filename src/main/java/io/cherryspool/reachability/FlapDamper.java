package io.cherryspool.reachability;

import java.time.Duration;

/**
 * A penalty that grows by one with each flap and halves with time. Between two thresholds the
 * answer stays what it was, so that a link does not go in and out of use with each flap.
 */
public final class FlapDamper {
  /** From this penalty on the link counts as flapping. */
  static final double SUPPRESS = 2;

  /** Below this penalty it no longer does. */
  static final double REUSE = 1;

  private final Duration halfLife;
  private double penalty;
  private Duration changed = Duration.ZERO;
  private boolean isFlapping;
  private long flapCount;

  /**
   * @param halfLife in what time the penalty halves
   */
  public FlapDamper(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** The link failed, or came back, once more. */
  public void recordFlap(Duration now) {
    penalty = penalty(now) + 1;
    changed = now;
    isFlapping |= penalty >= SUPPRESS;
    flapCount++;
  }

  /** The penalty as it has decayed until now. */
  public double penalty(Duration now) {
    double halfLives = (double) now.minus(changed).toNanos() / halfLife.toNanos();
    return penalty * Math.pow(0.5, halfLives);
  }

  /** Whether the link fails too often to be relied on, also while it happens to be up. */
  public boolean isFlapping(Duration now) {
    if (isFlapping && penalty(now) < REUSE) {
      isFlapping = false;
    }
    return isFlapping;
  }

  /** How many flaps there were in all. */
  public long flapCount() {
    return flapCount;
  }
}
