package io.cherryspool.reachability;

import java.time.Duration;

/**
 * Flap damping for one link, as in BGP route-flap damping: each flap adds one to a penalty, which
 * decays exponentially. A link begins to count as flapping at one threshold and ceases to at a
 * lower one, so that a single flap does not switch it back and forth. Confined to the event loop.
 */
public final class FlapDamper {
  /** A link whose penalty reaches this value counts as flapping. */
  static final double SUPPRESS_PENALTY = 2;

  /** A flapping link whose penalty falls below this value no longer counts as flapping. */
  static final double REUSE_PENALTY = 1;

  private final Duration halfLife;
  private double penalty;
  private Duration penaltyUpdatedAt = Duration.ZERO;
  private boolean isFlapping;
  private long flapCount;

  /**
   * Creates a damper with a penalty of zero.
   *
   * @param halfLife the time in which the penalty halves
   */
  public FlapDamper(Duration halfLife) {
    this.halfLife = halfLife;
  }

  /** Records one more flap of the link. */
  public void recordFlap(Duration now) {
    penalty = penalty(now) + 1;
    penaltyUpdatedAt = now;
    isFlapping |= penalty >= SUPPRESS_PENALTY;
    flapCount++;
  }

  /** The penalty at this time, after its decay; each flap adds one. */
  public double penalty(Duration now) {
    double halfLives = (double) now.minus(penaltyUpdatedAt).toNanos() / halfLife.toNanos();
    return penalty * Math.pow(0.5, halfLives);
  }

  /** Whether the link fails too often to be relied on, even if it is up at this time. */
  public boolean isFlapping(Duration now) {
    if (isFlapping && penalty(now) < REUSE_PENALTY) {
      isFlapping = false;
    }
    return isFlapping;
  }

  /** The number of flaps since this damper was created. */
  public long flapCount() {
    return flapCount;
  }
}
