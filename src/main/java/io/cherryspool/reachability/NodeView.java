package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * All that a verdict rests on. Immutable. It has twelve components, because a rule may combine any
 * of them, and none belongs to another.
 *
 * @param role what the node is to the cluster
 * @param node its name
 * @param now the time of the judgement, by the node's monotonic clock
 * @param stateLink the link to the state store
 * @param isStateLinkFlapping whether that link fails again and again
 * @param steadyFor for how long this node has led, been able to answer, and kept up
 * @param fleet how well it reaches its machines
 * @param unreachableZones the zones that it takes for unreachable
 * @param fleetUnreachableFor for how long many machines of several zones have been unreachable;
 *     empty while they are not
 * @param matrix what the other nodes' heartbeats tell
 * @param leadershipPenalty how often leaders of the cluster changed lately, see {@link FlapDamper}
 * @param handover to whom the last leader handed leadership over, if it did
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
    /** It leads. */
    LEADER,
    /** Another node leads. */
    FOLLOWER,
    /** There is no leader, and the node may stand. */
    CANDIDATE
  }

  /**
   * A leader handed leadership over.
   *
   * @param successor to whom, {@link Verdict.HandOverLeadership#ANY_NODE} if to no certain node
   * @param formerLeader who it was
   */
  public record Handover(String successor, String formerLeader) {}
}
