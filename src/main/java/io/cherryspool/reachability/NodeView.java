package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * All that a verdict rests on.
 *
 * @param now the moment of the judgement
 * @param stateLink the link to the state service
 * @param isStateLinkFlapping whether that link fails again and again
 * @param steadyFor for how long this node has led, been able to answer, and kept up
 * @param fleet how it hears its machines
 * @param unreachableZones the zones that it takes for cut off
 * @param fleetUnreachableFor for how long many machines of several zones have been unheard
 * @param matrix what the other nodes tell
 * @param leadershipPenalty how often leaders of the cluster changed lately
 * @param handover whom the last leader made way for, if it did
 */
public record NodeView(
    Role role,
    String node,
    Duration now,
    LinkState stateLink,
    boolean isStateLinkFlapping,
    Duration steadyFor,
    FleetReachability fleet,
    Set<String> unreachableZones,
    Optional<Duration> fleetUnreachableFor,
    ReachabilityMatrix matrix,
    double leadershipPenalty,
    Optional<Handover> handover) {

  /** What the node is to the cluster now. */
  public enum Role {
    LEADER,
    FOLLOWER,
    /** There is no leader, and the node may stand. */
    CANDIDATE
  }

  /** A leader made way: for whom, and who it was. */
  public record Handover(String successor, String formerLeader) {}
}
