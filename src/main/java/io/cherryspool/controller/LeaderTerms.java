package io.cherryspool.controller;

import io.cherryspool.controller.election.Election;
import io.cherryspool.controller.election.StateStoreAccess;
import io.cherryspool.controller.leader.LeaderTerm;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.RateLimiter;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Starts and stops this node's terms as leader, according to the elections. At most one term is
 * active at a time.
 */
final class LeaderTerms {
  private final EventLoop loop;
  private final Election election;
  private final ClusterRecords records;
  private final RateLimiter rateLimiter;
  private final Reachability reachability;
  private final Optional<RecoveryModule> recovery;
  private final Supplier<LeaderTerm> termFactory;

  /** The active term; null while this node does not lead. */
  private LeaderTerm current;

  /**
   * Creates the terms of a node that does not lead yet.
   *
   * @param termFactory creates the leader for the term that the records contain, without starting
   *     it
   */
  LeaderTerms(
      EventLoop loop,
      Election election,
      StateStoreAccess stateStore,
      Reachability reachability,
      Optional<RecoveryModule> recovery,
      Supplier<LeaderTerm> termFactory) {
    this.loop = loop;
    this.election = election;
    this.records = stateStore.records();
    this.rateLimiter = stateStore.rateLimiter();
    this.reachability = reachability;
    this.recovery = recovery;
    this.termFactory = termFactory;
  }

  /** Stops the active term if it has ended, and starts the term for which this node was elected. */
  void update() {
    boolean isLeader = election.isLeader();
    if (current != null && (!isLeader || current.term() != records.term())) {
      stop();
      rateLimiter.setLeader(false);
      reachability.recordLeadershipLoss(loop.now());
    }
    if (current == null && isLeader) {
      rateLimiter.setLeader(true);
      current = termFactory.get();
      current.start();
    }
  }

  /** Stops the active term, if there is one. */
  void stop() {
    if (current != null) {
      current.stop();
      current = null;
    }
  }

  /** Records a term that a worker or another node has sent. */
  void observeTerm(long term) {
    election.observeTerm(term);
    recovery.ifPresent(module -> module.observeTerm(term));
  }

  /** Notifies the active term, if there is one, that the records have changed. */
  void onRecordsChanged() {
    if (current != null) {
      current.requestRound();
    }
  }

  /** Whether a term is active, even if this node may not act as the leader at the moment. */
  boolean isTermActive() {
    return current != null;
  }

  /** Whether this node leads now and may command workers. */
  boolean isLeading() {
    return current != null && election.mayCommandWorkers();
  }

  /** Returns the answer to a worker's heartbeat; empty if this node may not act as the leader. */
  Optional<byte[]> answerHeartbeat(WorkerHeartbeat heartbeat) {
    if (!isLeading()) {
      return Optional.empty();
    }
    byte[] answer = current.answerHeartbeat(heartbeat);
    // A heartbeat may contain a higher term or reveal a loss of records. Either ends this term.
    return current == null ? Optional.empty() : Optional.of(answer);
  }

  /**
   * Returns how many machines this node, as the leader, reaches; {@link FleetReachability#EMPTY}
   * while it does not lead.
   */
  FleetReachability fleetReachability() {
    return current == null ? FleetReachability.EMPTY : current.fleetReachability();
  }

  /** Returns the number of machines that the active term knows; 0 while no term is active. */
  int machineCount() {
    return current == null ? 0 : current.fleet().all().size();
  }
}
