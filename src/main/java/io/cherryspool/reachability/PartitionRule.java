package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The rule that controllers follow in a network partition. Immutable.
 *
 * <p>Without this rule, a leader that its workers can't reach would remain leader as long as it
 * reaches the state store and the other nodes. Its workers would try the other nodes in turn, be
 * redirected to the leader each time, and lose all their tasks when their leases expire. The other
 * nodes therefore count the workers that they redirect and send the counts in their heartbeats. The
 * leader hands leadership over only if both observations agree: many machines have stopped sending
 * it heartbeats, and about as many workers send heartbeats to the other nodes. Machines that have
 * died, hang or are cut off together with their zone send heartbeats to no node. A leader that
 * receives no heartbeats from other nodes decides by the first observation alone.
 */
public final class PartitionRule implements VerdictRule {
  /** The smallest number of missing machines for which a leader hands leadership over. */
  private static final int MIN_MISSING_MACHINES = 3;

  /**
   * A leader hands leadership over only if at least 1/{@code MIN_MISSING_DIVISOR} of the known
   * machines are missing.
   */
  private static final int MIN_MISSING_DIVISOR = 6;

  /**
   * After recent changes of the leader, the fraction of the machines that must be missing is
   * multiplied by this.
   */
  private static final int RECENT_CHANGES_THRESHOLD_FACTOR = 2;

  /**
   * From this penalty on, changes of the leader count as recent. A lower penalty results from at
   * most one change, or from changes some time ago.
   */
  private static final double RECENT_CHANGES_PENALTY = 1.5;

  /**
   * A node whose link to the state store flaps delays its candidacy by the lease's length divided
   * by this.
   */
  private static final int FLAPPING_DELAY_DIVISOR = 2;

  /**
   * After a handover, a node that is not the successor delays its candidacy by the lease's length
   * divided by this.
   */
  private static final int NOT_SUCCESSOR_DELAY_DIVISOR = 4;

  private final ReachabilityTimings timings;

  /** Creates a rule with the deployment's timings. */
  public PartitionRule(ReachabilityTimings timings) {
    this.timings = timings;
  }

  @Override
  public Verdict evaluate(NodeView view) {
    return switch (view.leadership().role()) {
      case LEADER -> evaluateLeader(view);
      case CANDIDATE -> evaluateCandidate(view);
      case FOLLOWER -> evaluateFollower(view);
    };
  }

  private static Verdict evaluateFollower(NodeView view) {
    return view.stateStoreLink().state() == LinkState.DOWN
        ? new Verdict.ForwardRequests(Reason.STATE_UNREACHABLE)
        : new Verdict.Serve();
  }

  private Verdict evaluateLeader(NodeView view) {
    if (isHandoverWorthwhile(view)) {
      Optional<Verdict> handover = handOver(view);
      if (handover.isPresent()) {
        return handover.get();
      }
    }
    if (view.stateStoreLink().state() == LinkState.DOWN) {
      return new Verdict.SuspendPlacement(Reason.STATE_UNREACHABLE);
    }
    if (mayMachinesStillOwnTasks(view)) {
      return new Verdict.SuspendFleetChanges(Reason.FLEET_UNREACHABLE);
    }
    if (!view.fleet().unreachableZones().isEmpty()) {
      return new Verdict.SuspendZoneEviction(
          view.fleet().unreachableZones(), Reason.ZONES_UNREACHABLE);
    }
    return new Verdict.Serve();
  }

  /**
   * Whether much of the fleet is unreachable, but for less time than the leases of its tasks take
   * to expire. After that, its tasks may be placed on other machines, and the fleet may have to
   * grow for them.
   */
  private boolean mayMachinesStillOwnTasks(NodeView view) {
    Optional<Duration> unreachableFor = view.fleet().unreachableFor();
    return unreachableFor.isPresent()
        && unreachableFor.get().compareTo(timings.taskLeaseExpiry()) < 0;
  }

  /**
   * Whether enough machines are missing for a handover. Missing machines don't count if this node
   * was recently stalled, behind, or unable to answer workers: heartbeats were then late because of
   * this node, and after an outage of the state store all workers return to this node from the
   * other nodes at once.
   *
   * <p>A leader that is too busy to answer workers in time does not hand over either, although its
   * workers try the other nodes. Its successor would have no more capacity and would have the work
   * of a failover in addition: three controllers with 7.6% of a core handed leadership over every
   * 10 to 20 s and lost thousands of tasks. A leader that its workers can't reach, by contrast, has
   * little work and runs on time.
   */
  private boolean isHandoverWorthwhile(NodeView view) {
    int missing = view.fleet().reachability().missingMachines();
    if (missing < MIN_MISSING_MACHINES || !hasBeenHealthyLongEnough(view)) {
      return false;
    }
    int thresholdFactor =
        view.leadership().penalty() < RECENT_CHANGES_PENALTY ? 1 : RECENT_CHANGES_THRESHOLD_FACTOR;
    return missing * MIN_MISSING_DIVISOR
        >= view.fleet().reachability().knownMachines() * thresholdFactor;
  }

  private boolean hasBeenHealthyLongEnough(NodeView view) {
    Duration required = Durations.multiply(timings.workerHeartbeatOverdueAfter(), 2);
    return view.leadership().healthyFor().compareTo(required) >= 0;
  }

  /**
   * Returns the handover to the node to which most of the missing workers send heartbeats; empty if
   * there is no such node.
   */
  private Optional<Verdict> handOver(NodeView view) {
    List<Mesh.PeerHeartbeat> heartbeats =
        view.matrix().freshHeartbeats(timings.peerHeartbeatTimeout(), view.now());
    return heartbeats.isEmpty() ? handOverWithoutPeers(view) : handOver(view, heartbeats);
  }

  /**
   * Returns the handover of a leader that receives no heartbeats from other nodes, and so can't
   * know to which node its workers send heartbeats. If half of its machines are missing, any other
   * node is probably the better leader. A leader that has never received a heartbeat does not hand
   * over.
   */
  private static Optional<Verdict> handOverWithoutPeers(NodeView view) {
    boolean isHalfMissing =
        view.fleet().reachability().missingMachines() * 2
            >= view.fleet().reachability().knownMachines();
    return isHalfMissing && view.matrix().hasReceivedAny()
        ? Optional.of(
            new Verdict.HandOverLeadership(
                Verdict.HandOverLeadership.ANY_NODE, Reason.NO_PEERS_AND_WORKERS_MISSING))
        : Optional.empty();
  }

  private static Optional<Verdict> handOver(NodeView view, List<Mesh.PeerHeartbeat> heartbeats) {
    Mesh.PeerHeartbeat successor = null;
    int redirectedWorkers = 0;
    for (Mesh.PeerHeartbeat heartbeat : heartbeats) {
      if (mayLead(heartbeat) && heartbeat.redirectedWorkers() > 0) {
        redirectedWorkers += heartbeat.redirectedWorkers();
        if (successor == null || heartbeat.redirectedWorkers() > successor.redirectedWorkers()) {
          successor = heartbeat;
        }
      }
    }
    return successor != null
            && redirectedWorkers * 2 >= view.fleet().reachability().missingMachines()
        ? Optional.of(
            new Verdict.HandOverLeadership(successor.node(), Reason.WORKERS_REACH_OTHER_NODES))
        : Optional.empty();
  }

  private static boolean mayLead(Mesh.PeerHeartbeat heartbeat) {
    return heartbeat.isStateStoreReachable() && heartbeat.links().stateStore() != LinkState.DOWN;
  }

  /**
   * Orders the candidacies. After a handover the successor runs first and the former leader last.
   * Any other node whose link to the state store flaps runs after the nodes whose links do not.
   */
  private Verdict evaluateCandidate(NodeView view) {
    Duration lease = timings.leaderLease();
    NodeView.Handover handover = view.leadership().handover().orElse(null);
    if (handover != null && handover.successor().equals(view.node())) {
      return new Verdict.Serve();
    }
    if (handover != null && handover.formerLeader().equals(view.node())) {
      return new Verdict.DelayCandidacy(lease, Reason.HANDED_OVER_LAST);
    }
    if (view.stateStoreLink().isFlapping()) {
      return new Verdict.DelayCandidacy(
          Durations.divide(lease, FLAPPING_DELAY_DIVISOR), Reason.STATE_LINK_FLAPS);
    }
    return handover == null
        ? new Verdict.Serve()
        : new Verdict.DelayCandidacy(
            Durations.divide(lease, NOT_SUCCESSOR_DELAY_DIVISOR), Reason.NOT_THE_SUCCESSOR);
  }
}
