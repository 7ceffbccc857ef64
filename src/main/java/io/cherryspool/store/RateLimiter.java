package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;

/**
 * Token buckets that keep this node within its share of the state store's rate limits. The limits
 * apply to all nodes together. No node assigns the shares; each node derives its own share from its
 * role. The leader has the larger share of the writes. The followers have the rest as one common
 * share: each follower may use all of it, since the followers' bursts rarely coincide. The leader
 * subtracts the rates that the other nodes report from its own rate.
 *
 * <p>Requests for leases and elections are never delayed ({@link #forceAcquire}). All other writes
 * have a {@link WriteClass}: the less urgent classes leave a part of the bucket to the more urgent
 * ones.
 *
 * <p>Must be used on the event loop; the buckets are refilled by its clock.
 */
public final class RateLimiter {
  /** The fraction of the limits that all nodes together may use. */
  private static final double USED_FRACTION = 0.95;

  /** The fraction of the cluster's writes per second that the leader may use in one burst. */
  private static final double LEADER_WRITE_FRACTION = 0.8;

  /**
   * The minimum fraction of the write rate that the leader keeps, however much the other nodes
   * report.
   */
  private static final double MIN_LEADER_WRITE_FRACTION = 0.4;

  /** A bucket counts as full when it is filled to this fraction. */
  private static final double FULL_FRACTION = 0.98;

  /** The time constant of the average of this node's own writes, in seconds. */
  private static final double AVERAGING_SECONDS = 2;

  /** Tolerance for rounding errors in the comparison of a bucket with its reserved part. */
  private static final double ROUNDING_ERROR = 1e-9;

  /** The purposes of writes, the most urgent first. */
  public enum WriteClass {
    /** Cancellations of jobs by users. */
    CANCEL(0),
    /** Submissions of jobs by users. */
    SUBMIT(0.1),
    /** Decisions of scheduling rounds. */
    ROUND(0.25),
    /** Work of low priority, which is done only if there is little else to write. */
    IDLE(0.45),
    /** Work that may be delayed for a long time. */
    DEFERRABLE(0.6);

    /** The fraction of the bucket that is reserved for more urgent classes. */
    private final double reservedFraction;

    WriteClass(double reservedFraction) {
      this.reservedFraction = reservedFraction;
    }
  }

  private final EventLoop loop;
  private final int nodeCount;
  private final double clusterWriteRate;
  private final double requestRate;
  private double writeRate;
  private double writeBucketSize;
  private double availableRequests;
  private double availableWrites;

  /** The number of this node's writes, exponentially decaying with {@link #AVERAGING_SECONDS}. */
  private double recentWrites;

  private boolean isLeader;
  private double otherNodesWriteRate;
  private Duration refilledAt;

  /**
   * Creates a limiter with full buckets and the share of a follower.
   *
   * @param nodeCount the number of nodes that share the limits
   * @param requestsPerSecond the limit on the requests of all nodes together
   * @param changesPerSecond the limit on the changes of all nodes together
   */
  public RateLimiter(
      EventLoop loop, int nodeCount, double requestsPerSecond, double changesPerSecond) {
    this.loop = loop;
    this.nodeCount = nodeCount;
    this.clusterWriteRate = changesPerSecond * USED_FRACTION;
    this.requestRate = requestsPerSecond * USED_FRACTION / nodeCount;
    this.refilledAt = loop.now();
    setOtherNodesWriteRates(new int[0]);
    setLeader(false);
    availableRequests = requestRate;
    availableWrites = writeBucketSize;
  }

  /** Sets whether this node uses the share of the leader. */
  public void setLeader(boolean value) {
    isLeader = value;
    double fraction = isLeader ? LEADER_WRITE_FRACTION : 1 - LEADER_WRITE_FRACTION;
    writeBucketSize = nodeCount == 1 ? clusterWriteRate : clusterWriteRate * fraction;
    updateWriteRate();
  }

  /**
   * Sets the write rates that the other nodes report, in tenths of a change per second. The leader
   * subtracts them from its own rate. A fixed share for the other nodes would be too small, because
   * users' changes arrive at all nodes alike: with five nodes, it delayed those changes while the
   * leader used only a third of its own share. A node that reports no rate is assumed to use an
   * equal part of the followers' share.
   */
  public void setOtherNodesWriteRates(int... tenths) {
    double reported = 0;
    for (int rate : tenths) {
      reported += rate / 10.0;
    }
    int unreported = Math.max(0, nodeCount - 1 - tenths.length);
    otherNodesWriteRate =
        reported
            + unreported
                * clusterWriteRate
                * (1 - LEADER_WRITE_FRACTION)
                / Math.max(1, nodeCount - 1);
    updateWriteRate();
  }

  private void updateWriteRate() {
    refill();
    writeRate =
        isLeader || nodeCount == 1
            ? Math.max(
                clusterWriteRate * MIN_LEADER_WRITE_FRACTION,
                clusterWriteRate - otherNodesWriteRate)
            : clusterWriteRate * (1 - LEADER_WRITE_FRACTION);
  }

  /**
   * The number of changes that this node may make now. It may be negative after {@link
   * #forceAcquire}.
   */
  public double availableWrites() {
    refill();
    return availableWrites;
  }

  /** The recent average of this node's changes per second. */
  public double recentWritesPerSecond() {
    refill();
    return recentWrites / AVERAGING_SECONDS;
  }

  /**
   * The maximum number of changes of this class in one transaction that the bucket can ever allow.
   */
  public int maxTransactionChanges(WriteClass writeClass) {
    return Math.max(1, (int) (writeBucketSize * (1 - writeClass.reservedFraction)));
  }

  /** Acquires one request with the given number of changes if this class may make them now. */
  public boolean tryAcquireWrites(WriteClass writeClass, int changes) {
    if (!mayWrite(writeClass, 0, changes)) {
      return false;
    }
    availableRequests--;
    consumeWrites(changes);
    return true;
  }

  /**
   * Whether this class may make the given number of changes now. Acquires nothing.
   *
   * @param plannedChanges the number of changes that are already planned for the same request
   */
  public boolean mayWrite(WriteClass writeClass, int plannedChanges, int changes) {
    refill();
    if (availableRequests < 1) {
      return false;
    }
    double reserved = writeClass.reservedFraction * writeBucketSize;
    if (availableWrites - plannedChanges - changes >= reserved - ROUNDING_ERROR) {
      return true;
    }
    // Two kinds of requests would otherwise wait forever: a single change if the node's share is
    // only a few writes per second, and an indivisible request with more changes than the class can
    // ever get. The first is allowed once the reserved part and at least one change are available,
    // the second once the bucket is full.
    return plannedChanges == 0
        && ((changes == 1 && availableWrites >= Math.max(1, reserved))
            || (changes > maxTransactionChanges(writeClass)
                && availableWrites >= FULL_FRACTION * writeBucketSize));
  }

  /** Acquires a request that must not be delayed, even if it exceeds this node's share. */
  public void forceAcquire(int changes) {
    refill();
    availableRequests--;
    consumeWrites(changes);
  }

  private void consumeWrites(int changes) {
    availableWrites -= changes;
    recentWrites += changes;
  }

  /** Acquires one request without changes if one is available. */
  public boolean tryAcquireRead() {
    refill();
    if (availableRequests < 1) {
      return false;
    }
    availableRequests--;
    return true;
  }

  /**
   * Empties the buckets. Called after the state store has rejected a request as beyond its limits,
   * because another node or an earlier process of this node has used up the share.
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
