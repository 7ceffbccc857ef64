package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.List;

/**
 * The judgement that nodes obey.
 *
 * <p>A leader that loses its workers, but neither the state service nor the other nodes, would stay
 * leader while its workers go round the nodes, are sent back to it each time, and lose all their
 * tasks when their leases run out. The others hear those workers, and say so. Both must agree: many
 * machines have stopped reporting here, and about as many come to the others. Machines that died,
 * hang or are cut off with their zone come to nobody.
 */
public final class PartitionRule implements VerdictRule {
  /** Fewer than these, or a smaller part of the fleet, are worth no change of the leader. */
  private static final int LEAST_MISSING = 3;

  private static final int MISSING_PART = 6;

  /** Each recent change of the leader doubles what a further one must be worth. */
  private static final int COST_GROWTH = 2;

  /** Penalties below this are a single change some time ago. */
  private static final double RECENT_CHANGES = 1.5;

  private final ReachabilityTimings timings;

  public PartitionRule(ReachabilityTimings timings) {
    this.timings = timings;
  }

  @Override
  public Verdict judge(NodeView view) {
    return switch (view.role()) {
      case LEADER -> judgeLeader(view);
      case CANDIDATE -> judgeCandidate(view);
      case FOLLOWER ->
          view.stateLink() == LinkState.DOWN
              ? new Verdict.ForwardRequests(Reason.STATE_UNREACHABLE)
              : new Verdict.Serve();
    };
  }

  private Verdict judgeLeader(NodeView view) {
    if (worthAChange(view)) {
      Verdict transfer = transfer(view);
      if (transfer != null) {
        return transfer;
      }
    }
    if (view.stateLink() == LinkState.DOWN) {
      return new Verdict.SuspendPlacement(Reason.STATE_UNREACHABLE);
    }
    // Longer than that, what they ran is free for others, and needs machines.
    if (view.fleetUnreachableFor()
        .filter(length -> length.compareTo(timings.taskLeaseExpiry()) < 0)
        .isPresent()) {
      return new Verdict.SuspendFleetChanges(Reason.FLEET_UNREACHABLE);
    }
    if (!view.unreachableZones().isEmpty()) {
      return new Verdict.SuspendZoneEviction(view.unreachableZones(), Reason.ZONES_UNREACHABLE);
    }
    return new Verdict.Serve();
  }

  /**
   * Reports that were late because this node stood still, or is behind, are nobody's absence, nor
   * are those that it could not answer: after an outage of the state service all workers come from
   * the other nodes at once.
   *
   * <p>Nor are those that a busy node answers too late, so that their workers go round the others.
   * The next leader is no larger, and has the take-over to pay besides: three controllers with 7.6%
   * of a core handed their work on every 10 to 20 s and lost thousands of tasks. A leader that its
   * workers do not reach has little to do.
   */
  private boolean worthAChange(NodeView view) {
    int missing = view.fleet().missing();
    if (missing < LEAST_MISSING
        || view.steadyFor().compareTo(Durations.multiply(timings.workerHeartbeatOverdueAfter(), 2))
            < 0) {
      return false;
    }
    int cost = view.leadershipPenalty() < RECENT_CHANGES ? 1 : COST_GROWTH;
    return missing * MISSING_PART >= view.fleet().known() * cost;
  }

  /** The hand-over to the node that hears most of the missing workers; null if nobody does. */
  private Verdict transfer(NodeView view) {
    List<Mesh.PeerHeartbeat> heartbeats =
        view.matrix().freshHeartbeats(timings.peerHeartbeatTimeout(), view.now());
    int missing = view.fleet().missing();
    if (heartbeats.isEmpty()) {
      // It can't know where its workers are; if it misses half of them, any other node is the
      // better guess.
      boolean half = missing * 2 >= view.fleet().known();
      return half && view.matrix().hasReceivedAny()
          ? new Verdict.HandOverLeadership(
              Verdict.HandOverLeadership.ANY_NODE, Reason.NO_PEERS_AND_WORKERS_MISSING)
          : null;
    }
    Mesh.PeerHeartbeat best = null;
    int redirected = 0;
    for (Mesh.PeerHeartbeat heartbeat : heartbeats) {
      if (mayLead(heartbeat) && heartbeat.redirectedWorkers() > 0) {
        redirected += heartbeat.redirectedWorkers();
        if (best == null || heartbeat.redirectedWorkers() > best.redirectedWorkers()) {
          best = heartbeat;
        }
      }
    }
    return best != null && redirected * 2 >= missing
        ? new Verdict.HandOverLeadership(best.node(), Reason.WORKERS_REACH_OTHER_NODES)
        : null;
  }

  private static boolean mayLead(Mesh.PeerHeartbeat heartbeat) {
    LinkSummary links = heartbeat.links();
    return heartbeat.isStateStoreReachable() && links.stateStore() != LinkState.DOWN;
  }

  /** The successor stands first, and who made way for it last, as does one whose link flaps. */
  private Verdict judgeCandidate(NodeView view) {
    Duration lease = timings.leaderLease();
    NodeView.Handover handover = view.handover().orElse(null);
    boolean successor = handover != null && handover.successor().equals(view.node());
    if (successor) {
      return new Verdict.Serve();
    }
    if (handover != null && handover.formerLeader().equals(view.node())) {
      return new Verdict.DelayCandidacy(lease, Reason.HANDED_OVER_LAST);
    }
    if (view.isStateLinkFlapping()) {
      return new Verdict.DelayCandidacy(Durations.divide(lease, 2), Reason.STATE_LINK_FLAPS);
    }
    return handover == null
        ? new Verdict.Serve()
        : new Verdict.DelayCandidacy(Durations.divide(lease, 4), Reason.NOT_THE_SUCCESSOR);
  }
}
