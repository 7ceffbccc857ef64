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
 * Starts and stops this node's terms as leader, as elections decide. There is at most one at a
 * time.
 */
final class LeaderTerms {
  private final EventLoop loop;
  private final Election election;
  private final ClusterRecords records;
  private final RateLimiter rateLimiter;
  private final Reachability reachability;
  private final Optional<RecoveryModule> recovery;
  private final Supplier<LeaderTerm> newTerm;

  /** Null while this node does not lead. */
  private LeaderTerm current;

  /**
   * Creates the leader terms.
   *
   * @param newTerm makes the leader of the records' current term, without starting it
   */
  LeaderTerms(
      EventLoop loop,
      Election election,
      StateStoreAccess stateStore,
      Reachability reachability,
      Optional<RecoveryModule> recovery,
      Supplier<LeaderTerm> newTerm) {
    this.loop = loop;
    this.election = election;
    this.records = stateStore.records();
    this.rateLimiter = stateStore.rateLimiter();
    this.reachability = reachability;
    this.recovery = recovery;
    this.newTerm = newTerm;
  }

  /** Stops a term that has ended and starts the one that this node was elected for. */
  void update() {
    boolean isLeader = election.isLeader();
    if (current != null && (!isLeader || current.term() != records.term())) {
      stop();
      rateLimiter.setLeader(false);
      reachability.recordLeadershipLoss(loop.now());
    }
    if (current == null && isLeader) {
      rateLimiter.setLeader(true);
      current = newTerm.get();
      current.start();
    }
  }

  /** Stops the current term, if there is one. */
  void stop() {
    if (current != null) {
      current.stop();
      current = null;
    }
  }

  /** Takes note of a term that a worker or another node has shown. */
  void observeTerm(long term) {
    election.observeTerm(term);
    recovery.ifPresent(module -> module.observeTerm(term));
  }

  /** Lets the current term take up a change of the records. */
  void recordsChanged() {
    if (current != null) {
      current.requestRound();
    }
  }

  /** Whether a term is under way, even if this node may not act by it at the moment. */
  boolean isTermActive() {
    return current != null;
  }

  /** Whether this node leads now and may command workers. */
  boolean isLeading() {
    return current != null && election.mayCommandWorkers();
  }

  /** The answer to a worker's heartbeat; empty if this node may not act as the leader. */
  Optional<byte[]> answerHeartbeat(WorkerHeartbeat heartbeat) {
    if (!isLeading()) {
      return Optional.empty();
    }
    byte[] answer = current.handleHeartbeat(heartbeat);
    // What a heartbeat shows may end the term.
    return current == null ? Optional.empty() : Optional.of(answer);
  }

  /** How this node, as leader, receives its machines' heartbeats; empty while it does not lead. */
  FleetReachability fleetReachability() {
    return current == null ? FleetReachability.EMPTY : current.fleetReachability();
  }

  /** The number of machines that the current term knows of; 0 while there is no term. */
  int machineCount() {
    return current == null ? 0 : current.fleet().all().size();
  }
}
