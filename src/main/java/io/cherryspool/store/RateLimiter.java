package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;

/**
 * This node's part of what the state service bears. The limits are for all nodes together and
 * nobody divides them, so each node keeps to a share; the leader's share of writes is the larger
 * one. The others' bursts rarely come at once, so that each may take all of their share for a
 * moment, and the leader leaves them what they say that they use. Leases and elections are never
 * held back, cancels before submissions, submissions before rounds, idle work and what can wait
 * after those.
 */
public final class RateLimiter {
  private static final double MARGIN = 0.95;
  private static final double LEADER_WRITES = 0.8;

  /** What the leader keeps, however much the others use. */
  private static final double LEADER_LEAST = 0.4;

  /** A bucket as full as it gets while time goes on. */
  private static final double FULL = 0.98;

  /** Over how many seconds a node's own use is averaged. */
  private static final double LATELY_S = 2;

  /** Uses, by how much of a second's writes they leave to the more pressing ones. */
  public enum WriteClass {
    CANCEL(0),
    SUBMIT(0.1),
    ROUND(0.25),
    IDLE(0.45),
    DEFERRABLE(0.6);

    private final double leaves;

    WriteClass(double leaves) {
      this.leaves = leaves;
    }
  }

  private final EventLoop loop;
  private final int nodes;
  private final double allWrites;
  private final double requestRate;
  private double writeRate;
  private double writeDepth;
  private double requests;
  private double writes;
  private double recentWritesPerSecond;
  private boolean leader;
  private double setOtherNodesWriteRates;
  private Duration filled;

  public RateLimiter(EventLoop loop, int nodes, double rps, double writeRps) {
    this.loop = loop;
    this.nodes = nodes;
    this.allWrites = writeRps * MARGIN;
    this.requestRate = rps * MARGIN / nodes;
    this.filled = loop.now();
    setOtherNodesWriteRates(new int[0]);
    setLeader(false);
    requests = requestRate;
    writes = writeDepth;
  }

  public void setLeader(boolean value) {
    leader = value;
    writeDepth = nodes == 1 ? allWrites : allWrites * (leader ? LEADER_WRITES : 1 - LEADER_WRITES);
    rate();
  }

  /**
   * What the other nodes say that they use, in tenths of a change for a second. A leader leaves it
   * to them: users' changes come to all nodes alike, and with five nodes a fixed share made them
   * wait while the leader used a third of its own. Of a node that says nothing, a fair part of the
   * others' share is assumed.
   */
  public void setOtherNodesWriteRates(int... tenths) {
    double sum = 0;
    for (int one : tenths) {
      sum += one / 10.0;
    }
    int silent = Math.max(0, nodes - 1 - tenths.length);
    setOtherNodesWriteRates =
        sum + silent * allWrites * (1 - LEADER_WRITES) / Math.max(1, nodes - 1);
    rate();
  }

  private void rate() {
    refill();
    writeRate =
        leader || nodes == 1
            ? Math.max(allWrites * LEADER_LEAST, allWrites - setOtherNodesWriteRates)
            : allWrites * (1 - LEADER_WRITES);
  }

  /** How many changes this node could make at once now. */
  public double availableWrites() {
    refill();
    return writes;
  }

  /** How many changes a second this node has made of late. */
  public double recentWritesPerSecond() {
    refill();
    return recentWritesPerSecond / LATELY_S;
  }

  /** The most changes one transaction of this use may hold if it is ever to be allowed. */
  public int maxTransactionChanges(WriteClass use) {
    return Math.max(1, (int) (writeDepth * (1 - use.leaves)));
  }

  /** Takes one request with so many changes, if this use may have it now. */
  public boolean tryAcquireWrites(WriteClass use, int count) {
    if (!mayWrite(use, 0, count)) {
      return false;
    }
    requests--;
    spend(count);
    return true;
  }

  /** Whether so many changes may go now, in one request with some that were allowed already. */
  public boolean mayWrite(WriteClass use, int before, int count) {
    refill();
    if (requests < 1) {
      return false;
    }
    double left = use.leaves * writeDepth;
    if (writes - before - count >= left - 1e-9) {
      return true;
    }
    // With a share of few writes a second, one change must pass once the bucket is full, and what
    // can't be divided and is more than this use is ever left: it would wait for good.
    return before == 0
        && (count == 1 && writes >= Math.max(1, left)
            || count > maxTransactionChanges(use) && writes >= FULL * writeDepth);
  }

  /** Counts a request that can't wait, even beyond the share. */
  public void forceAcquire(int changes) {
    refill();
    requests--;
    spend(changes);
  }

  private void spend(int changes) {
    writes -= changes;
    recentWritesPerSecond += changes;
  }

  /** Takes one reading request, if there is room. */
  public boolean tryAcquireRead() {
    refill();
    if (requests < 1) {
      return false;
    }
    requests--;
    return true;
  }

  /** After a 429 the share is spent: another node, or an earlier self, has used it. */
  public void drain() {
    refill();
    requests = Math.min(requests, 0);
    writes = Math.min(writes, 0);
  }

  private void refill() {
    Duration now = loop.now();
    double seconds = now.minus(filled).toNanos() / 1e9;
    filled = now;
    recentWritesPerSecond *= Math.exp(-seconds / LATELY_S);
    requests = Math.min(requestRate, requests + seconds * requestRate);
    writes = Math.min(Math.max(1, writeDepth), writes + seconds * writeRate);
  }
}
