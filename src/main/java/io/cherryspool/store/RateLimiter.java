package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;

/**
 * Token buckets that keep this node to its share of the state store's rate limits. The limits apply
 * to all nodes together and are divided by no one, so that each node assumes a share; the leader's
 * share of writes is the larger one. Bursts of the other nodes rarely coincide, so that each may
 * use their common share for a moment, and the leader leaves them the rate that they report.
 *
 * <p>Leases and elections are never delayed ({@link #forceAcquire}). All other writes are ranked by
 * their {@link WriteClass}: the less urgent ones leave a part of the bucket to the more urgent
 * ones.
 *
 * <p>Used on the event loop, by whose clock the buckets are refilled.
 */
public final class RateLimiter {
  /** The fraction of the limits that is used. */
  private static final double USED_FRACTION = 0.95;

  /** The fraction of the writes of a second that the leader may use at once. */
  private static final double LEADER_WRITE_FRACTION = 0.8;

  /** The fraction of the write rate that the leader keeps, whatever the others report. */
  private static final double MIN_LEADER_WRITE_FRACTION = 0.4;

  /** A bucket that is filled to this fraction counts as full. */
  private static final double FULL_FRACTION = 0.98;

  /** The time constant of the average of this node's own writes, in seconds. */
  private static final double AVERAGING_SECONDS = 2;

  /** Allows for rounding when a bucket is compared with what is to remain in it. */
  private static final double ROUNDING_ERROR = 1e-9;

  /** What writes are for, the most urgent first. */
  public enum WriteClass {
    /** Users cancel jobs. */
    CANCEL(0),
    /** Users submit jobs. */
    SUBMIT(0.1),
    /** A scheduling round commits its decisions. */
    ROUND(0.25),
    /** Work that only matters while there is nothing else to do. */
    IDLE(0.45),
    /** Work that may be delayed for long. */
    DEFERRABLE(0.6);

    /** The fraction of the bucket that is left to more urgent writes. */
    private final double reservedFraction;

    WriteClass(double reservedFraction) {
      this.reservedFraction = reservedFraction;
    }
  }

  private final EventLoop loop;
  private final int nodes;
  private final double clusterWriteRate;
  private final double requestRate;
  private double writeRate;
  private double writeBucketSize;
  private double availableRequests;
  private double availableWrites;

  /** This node's writes, decaying with the averaging time. */
  private double recentWrites;

  private boolean isLeader;
  private double otherNodesWriteRate;
  private Duration refilledAt;

  /**
   * Creates a limiter with full buckets and a follower's share.
   *
   * @param nodes how many nodes share the limits
   * @param requestsPerSecond the limit on requests of all nodes together
   * @param changesPerSecond the limit on changes of all nodes together
   */
  public RateLimiter(EventLoop loop, int nodes, double requestsPerSecond, double changesPerSecond) {
    this.loop = loop;
    this.nodes = nodes;
    this.clusterWriteRate = changesPerSecond * USED_FRACTION;
    this.requestRate = requestsPerSecond * USED_FRACTION / nodes;
    this.refilledAt = loop.now();
    setOtherNodesWriteRates(new int[0]);
    setLeader(false);
    availableRequests = requestRate;
    availableWrites = writeBucketSize;
  }

  /** Sets whether this node uses the leader's share from now on. */
  public void setLeader(boolean value) {
    isLeader = value;
    double fraction = isLeader ? LEADER_WRITE_FRACTION : 1 - LEADER_WRITE_FRACTION;
    writeBucketSize = nodes == 1 ? clusterWriteRate : clusterWriteRate * fraction;
    updateWriteRate();
  }

  /**
   * Sets the write rates that the other nodes report, in tenths of a change per second. The leader
   * leaves them these: users' changes arrive at all nodes alike, and with five nodes a fixed share
   * delayed them while the leader used a third of its own. A node without a report is assumed to
   * use an equal part of the others' share.
   */
  public void setOtherNodesWriteRates(int... tenths) {
    double reported = 0;
    for (int rate : tenths) {
      reported += rate / 10.0;
    }
    int unreported = Math.max(0, nodes - 1 - tenths.length);
    otherNodesWriteRate =
        reported
            + unreported * clusterWriteRate * (1 - LEADER_WRITE_FRACTION) / Math.max(1, nodes - 1);
    updateWriteRate();
  }

  private void updateWriteRate() {
    refill();
    writeRate =
        isLeader || nodes == 1
            ? Math.max(
                clusterWriteRate * MIN_LEADER_WRITE_FRACTION,
                clusterWriteRate - otherNodesWriteRate)
            : clusterWriteRate * (1 - LEADER_WRITE_FRACTION);
  }

  /** How many changes this node may make at once now; negative after forced ones. */
  public double availableWrites() {
    refill();
    return availableWrites;
  }

  /** How many changes per second this node has made recently. */
  public double recentWritesPerSecond() {
    refill();
    return recentWrites / AVERAGING_SECONDS;
  }

  /** How many changes of this class one transaction may hold so that it is ever allowed. */
  public int maxTransactionChanges(WriteClass writeClass) {
    return Math.max(1, (int) (writeBucketSize * (1 - writeClass.reservedFraction)));
  }

  /** Acquires one request with so many changes if this class may make them now. */
  public boolean tryAcquireWrites(WriteClass writeClass, int changes) {
    if (!mayWrite(writeClass, 0, changes)) {
      return false;
    }
    availableRequests--;
    spend(changes);
    return true;
  }

  /**
   * Whether this class may make so many changes now, without acquiring them.
   *
   * @param before how many changes are already planned for the same request
   */
  public boolean mayWrite(WriteClass writeClass, int before, int changes) {
    refill();
    if (availableRequests < 1) {
      return false;
    }
    double reserved = writeClass.reservedFraction * writeBucketSize;
    if (availableWrites - before - changes >= reserved - ROUNDING_ERROR) {
      return true;
    }
    // Two kinds of requests would otherwise wait forever: a single change where the share is a few
    // writes per second, and an indivisible one of more changes than the class is ever left. Both
    // pass once the bucket is full.
    return before == 0
        && ((changes == 1 && availableWrites >= Math.max(1, reserved))
            || (changes > maxTransactionChanges(writeClass)
                && availableWrites >= FULL_FRACTION * writeBucketSize));
  }

  /** Acquires a request that must not be delayed, even beyond this node's share. */
  public void forceAcquire(int changes) {
    refill();
    availableRequests--;
    spend(changes);
  }

  private void spend(int changes) {
    availableWrites -= changes;
    recentWrites += changes;
  }

  /** Acquires one request without changes, if there is one left. */
  public boolean tryAcquireRead() {
    refill();
    if (availableRequests < 1) {
      return false;
    }
    availableRequests--;
    return true;
  }

  /**
   * Empties the buckets after the state store refused a request as beyond its limits: another node,
   * or an earlier process of this one, has used the share.
   */
  public void drain() {
    refill();
    availableRequests = Math.min(availableRequests, 0);
    availableWrites = Math.min(availableWrites, 0);
  }

  private void refill() {
    Duration now = loop.now();
    double seconds = now.minus(refilledAt).toNanos() / 1e9;
    refilledAt = now;
    recentWrites *= Math.exp(-seconds / AVERAGING_SECONDS);
    availableRequests = Math.min(requestRate, availableRequests + seconds * requestRate);
    availableWrites = Math.min(Math.max(1, writeBucketSize), availableWrites + seconds * writeRate);
  }
}
