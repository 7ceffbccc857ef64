package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Route-flap damping of one link: a penalty that grows by one with each flap and halves with time.
 * Between two thresholds the answer stays what it was, so that a link does not go in and out of use
 * with each flap. Confined to the event loop.
 */
public final class FlapDamper {
  /** From this penalty on the link counts as flapping. */
  static final double SUPPRESS_PENALTY = 2;

  /** Below this penalty it no longer does. */
  static final double REUSE_PENALTY = 1;

  private final Duration halfLife;
  private double penalty;
  private Duration penaltyUpdatedAt = Duration.ZERO;
  private boolean isFlapping;
  private long flapCount;

  /**
   * A damper without any penalty.
   *
   * @param halfLife in what time the penalty halves
   */
  public FlapDamper(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** Counts one more failure, or one more return, of the link. */
  public void recordFlap(Duration now) {
    penalty = penalty(now) + 1;
    penaltyUpdatedAt = now;
    isFlapping |= penalty >= SUPPRESS_PENALTY;
    flapCount++;
  }

  /** The penalty as it has decayed until now; without a unit, one for each flap. */
  public double penalty(Duration now) {
    double halfLives = (double) now.minus(penaltyUpdatedAt).toNanos() / halfLife.toNanos();
    return penalty * Math.pow(0.5, halfLives);
  }

  /** Whether the link fails too often to be relied on, also while it happens to be up. */
  public boolean isFlapping(Duration now) {
    if (isFlapping && penalty(now) < REUSE_PENALTY) {
      isFlapping = false;
    }
    return isFlapping;
  }

  /** How many flaps there were since the start. */
  public long flapCount() {
    return flapCount;
  }
}
