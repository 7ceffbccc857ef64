package io.cherryspool.store;

import io.cherryspool.duty.EventLoop;
import java.time.Duration;

/**
 * This node's part of what the state service bears. The limits are for all nodes together and
 * nobody divides them, so each node keeps to a share; the leader's share of writes is the larger
 * one. The others share theirs in time as well: users' changes come in bursts and rarely to all
 * nodes at once, so that each may take all of it for a moment. Leases and elections are never held
 * back, cancels before submissions, submissions before rounds, and what can wait after those.
 */
public final class Budget {
  private static final double MARGIN = 0.95;
  private static final double LEADER_WRITES = 0.8;

  /** How far the other nodes' rates may exceed their common share together. */
  private static final double OVERLAP = 2;

  /** Uses, by how much of a second's writes they leave to the more pressing ones. */
  public enum Use {
    CANCEL(0),
    SUBMIT(0.1),
    ROUND(0.25),
    LATER(0.6);

    private final double leaves;

    Use(double leaves) {
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
  private Duration filled;

  public Budget(EventLoop loop, int nodes, double rps, double writeRps) {
    this.loop = loop;
    this.nodes = nodes;
    this.allWrites = writeRps * MARGIN;
    this.requestRate = rps * MARGIN / nodes;
    this.filled = loop.now();
    setLeader(false);
    requests = requestRate;
    writes = writeDepth;
  }

  public void setLeader(boolean leader) {
    if (nodes == 1 || leader) {
      writeRate = allWrites * (nodes == 1 ? 1 : LEADER_WRITES);
      writeDepth = writeRate;
    } else {
      writeDepth = allWrites * (1 - LEADER_WRITES);
      writeRate = Math.min(writeDepth, writeDepth * OVERLAP / (nodes - 1));
    }
  }

  /** The most changes one transaction of this use may hold if it is ever to be allowed. */
  public int largest(Use use) {
    return Math.max(1, (int) (writeDepth * (1 - use.leaves)));
  }

  /** Takes one request with so many changes, if this use may have it now. */
  public boolean takeWrites(Use use, int count) {
    refill();
    if (requests < 1 || writes - count < use.leaves * writeDepth - 1e-9) {
      return count == 1 && takeLast(use);
    }
    requests--;
    writes -= count;
    return true;
  }

  /** With a share of few writes a second, one change must pass once the bucket is full. */
  private boolean takeLast(Use use) {
    if (requests < 1 || writes < Math.max(1, use.leaves * writeDepth)) {
      return false;
    }
    requests--;
    writes--;
    return true;
  }

  /** Counts a request that can't wait, even beyond the share. */
  public void force(int changes) {
    refill();
    requests--;
    writes -= changes;
  }

  /** Takes one reading request, if there is room. */
  public boolean takeRead() {
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
    requests = Math.min(requestRate, requests + seconds * requestRate);
    writes = Math.min(Math.max(1, writeDepth), writes + seconds * writeRate);
  }
}
