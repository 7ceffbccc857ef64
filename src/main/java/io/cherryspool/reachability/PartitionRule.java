package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The rule by which nodes judge their links. Immutable.
 *
 * <p>A leader that loses its workers, but neither the state store nor the other nodes, would stay
 * leader while its workers try the nodes in turn, are redirected to it each time, and lose all
 * their tasks when their leases expire. The others count those workers in their heartbeats. Both
 * must agree: many machines have stopped reporting here, and about as many come to the others.
 * Machines that died, hang or are cut off with their zone come to no node.
 */
public final class PartitionRule implements VerdictRule {
  /** Fewer missing machines are worth no change of the leader. */
  private static final int MIN_MISSING_MACHINES = 3;

  /** With fewer than one machine of so many missing, neither. */
  private static final int MIN_MISSING_DIVISOR = 6;

  /** Each recent change of the leader doubles what a further one must be worth. */
  private static final int RECENT_CHANGES_THRESHOLD_FACTOR = 2;

  /** Penalties below this are a single change some time ago. */
  private static final double RECENT_CHANGES_PENALTY = 1.5;

  /** A node that flaps stands after this part of a lease. */
  private static final int FLAPPING_DELAY_DIVISOR = 2;

  /** A node that is not the successor stands after this part of a lease. */
  private static final int NOT_SUCCESSOR_DELAY_DIVISOR = 4;

  private final ReachabilityTimings timings;

  /** A rule with the deployment's times. */
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
   * Whether much of the fleet is unreachable, for no longer than its tasks' leases last. Later what
   * it ran is free for other machines, so that the fleet may have to grow.
   */
  private boolean mayMachinesStillOwnTasks(NodeView view) {
    Optional<Duration> unreachableFor = view.fleet().unreachableFor();
    return unreachableFor.isPresent()
        && unreachableFor.get().compareTo(timings.taskLeaseExpiry()) < 0;
  }

  /**
   * Whether enough machines are missing. Heartbeats that were late because this node stood still,
   * or is behind, are nobody's absence, nor are those that it could not answer: after an outage of
   * the state store all workers come from the other nodes at once.
   *
   * <p>Nor are those that a busy node answers too late, so that their workers try the others. The
   * next leader is no larger, and has the failover to pay besides: three controllers with 7.6% of a
   * core handed leadership over every 10 to 20 s and lost thousands of tasks. A leader that its
   * workers do not reach has little to do.
   */
  private boolean isHandoverWorthwhile(NodeView view) {
    int missing = view.fleet().machines().missing();
    if (missing < MIN_MISSING_MACHINES || !hasBeenHealthyLongEnough(view)) {
      return false;
    }
    int thresholdFactor =
        view.leadership().penalty() < RECENT_CHANGES_PENALTY ? 1 : RECENT_CHANGES_THRESHOLD_FACTOR;
    return missing * MIN_MISSING_DIVISOR >= view.fleet().machines().known() * thresholdFactor;
  }

  private boolean hasBeenHealthyLongEnough(NodeView view) {
    Duration required = Durations.multiply(timings.workerHeartbeatOverdueAfter(), 2);
    return view.leadership().healthyFor().compareTo(required) >= 0;
  }

  /** The handover to the node to which most of the missing workers come; empty if to none. */
  private Optional<Verdict> handOver(NodeView view) {
    List<Mesh.PeerHeartbeat> heartbeats =
        view.matrix().freshHeartbeats(timings.peerHeartbeatTimeout(), view.now());
    return heartbeats.isEmpty() ? handOverWithoutPeers(view) : handOver(view, heartbeats);
  }

  /**
   * A leader that receives no heartbeats can't know where its workers are; if it misses half of
   * them, any other node is the better guess.
   */
  private static Optional<Verdict> handOverWithoutPeers(NodeView view) {
    boolean isHalfMissing =
        view.fleet().machines().missing() * 2 >= view.fleet().machines().known();
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
    return successor != null && redirectedWorkers * 2 >= view.fleet().machines().missing()
        ? Optional.of(
            new Verdict.HandOverLeadership(successor.node(), Reason.WORKERS_REACH_OTHER_NODES))
        : Optional.empty();
  }

  private static boolean mayLead(Mesh.PeerHeartbeat heartbeat) {
    return heartbeat.isStateStoreReachable() && heartbeat.links().stateStore() != LinkState.DOWN;
  }

  /**
   * The successor stands first, and the former leader last; a node whose link to the state store
   * flaps stands after the others.
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
