package io.cherryspool.store;

import io.cherryspool.duty.EventLoop;
import java.time.Duration;

/**
 * This node's part of what the state service bears. The limits are for all nodes together and
 * nobody divides them, so each node keeps to a share; the leader's share of writes is the larger
 * one. Leases and elections are never held back, cancels before submissions, submissions before
 * rounds.
 */
public final class Budget {
  private static final double MARGIN = 0.9;
  private static final double LEADER_WRITES = 0.6;

  /** Uses, by how much of a second's writes they leave to the more pressing ones. */
  public enum Use {
    CANCEL(0),
    SUBMIT(0.1),
    ROUND(0.25);

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
    writes = writeRate;
  }

  public void setLeader(boolean leader) {
    if (nodes == 1) {
      writeRate = allWrites;
    } else {
      writeRate = allWrites * (leader ? LEADER_WRITES : (1 - LEADER_WRITES) / (nodes - 1));
    }
  }

  /** The most changes one transaction of this use may hold if it is ever to be allowed. */
  public int largest(Use use) {
    return Math.max(1, (int) (writeRate * (1 - use.leaves)));
  }

  /** Takes one request with so many changes, if this use may have it now. */
  public boolean takeWrites(Use use, int count) {
    refill();
    if (requests < 1 || writes - count < use.leaves * writeRate - 1e-9) {
      return count == 1 && takeLast(use);
    }
    requests--;
    writes -= count;
    return true;
  }

  /** With a share of few writes a second, one change must pass once the bucket is full. */
  private boolean takeLast(Use use) {
    if (requests < 1 || writes < Math.max(1, use.leaves * writeRate)) {
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
    writes = Math.min(Math.max(1, writeRate), writes + seconds * writeRate);
  }
}
