package io.cherryspool.controller.election;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Records;
import java.time.Duration;

/**
 * Determines whether this process leads and what it may do as the leader, from this node's replica
 * of the records, the leases that it holds, and the terms that workers and other nodes have sent.
 */
final class Leadership {
  private final EventLoop loop;
  private final ClusterRecords records;
  private final NodeLeases leases;
  private final ProcessIdentity self;
  private final Timings timings;
  private long highestObservedTerm;

  Leadership(
      EventLoop loop,
      ClusterRecords records,
      NodeLeases leases,
      ProcessIdentity self,
      Timings timings) {
    this.loop = loop;
    this.records = records;
    this.leases = leases;
    this.self = self;
    this.timings = timings;
  }

  /**
   * Returns the highest term that the records contain or that a worker or another node has sent.
   */
  long highestKnownTerm() {
    return Math.max(records.term(), highestObservedTerm);
  }

  /**
   * Records a term that a worker or another node has sent; returns true if it is higher than all
   * those before.
   */
  boolean observeTerm(long term) {
    boolean isHighest = term > highestObservedTerm;
    if (isHighest) {
      highestObservedTerm = term;
    }
    return isHighest;
  }

  /** See {@link Election#isLeader}. */
  boolean isLeader() {
    Records.Leader leader = records.leader();
    return leader != null
        && records.isLoaded()
        && isThisProcess(leader)
        && leases.isHeld(leader.leaseId())
        && leader.term() == records.term()
        && leader.term() >= highestObservedTerm;
  }

  /** See {@link Election#mayCommandWorkers}. */
  boolean mayCommandWorkers() {
    if (!isLeader()) {
      return false;
    }
    Duration start = loop.now().minus(timings.maxLeaderAuthority());
    Duration lastRead = records.lastConfirmedAt();
    return leases.areRenewedSince(start) && lastRead != null && lastRead.compareTo(start) > 0;
  }

  /** See {@link Election#mayChangeFleet}. */
  boolean mayChangeFleet() {
    Duration now = loop.now();
    return isLeader() && leases.areValidAt(now);
  }

  /** Whether the leader's record names this process. */
  boolean isThisProcess(Records.Leader leader) {
    return leader.processId().equals(self.processId());
  }

  /** Whether the leader's record names an earlier process of this node. */
  boolean isEarlierProcess(Records.Leader leader) {
    return leader.node().equals(self.node()) && !isThisProcess(leader);
  }

  /**
   * Returns the record that names this process as leader of the term, to be attached to the lease.
   */
  Records.Leader leaderRecord(long term, StateStoreLease lease) {
    return new Records.Leader(term, self.node(), self.processId(), lease.id());
  }

  /** The name of this node. */
  String node() {
    return self.node();
  }
}
