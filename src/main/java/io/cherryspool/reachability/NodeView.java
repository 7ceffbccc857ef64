package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * All that a verdict rests on. Immutable.
 *
 * @param node the node's name
 * @param now the time of the judgement, by the node's monotonic clock
 * @param leadership what the node is to the cluster
 * @param stateStoreLink its link to the state store
 * @param fleet how well it reaches its machines
 * @param matrix what the other nodes' heartbeats say
 */
public record NodeView(
    String node,
    Duration now,
    Leadership leadership,
    StateStoreLink stateStoreLink,
    Fleet fleet,
    ReachabilityMatrix matrix) {

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
   * The node's role, and how leadership changed before.
   *
   * @param healthyFor for how long this node has led, been able to answer, and kept up
   * @param penalty how often leaders of the cluster changed lately, see {@link FlapDamper}
   * @param handover to whom the last leader handed leadership over, if it did
   */
  public record Leadership(
      Role role, Duration healthyFor, double penalty, Optional<Handover> handover) {}

  /**
   * A leader handed leadership over.
   *
   * @param successor to whom, {@link Verdict.HandOverLeadership#ANY_NODE} if to no certain node
   * @param formerLeader who it was
   */
  public record Handover(String successor, String formerLeader) {}

  /**
   * The link to the state store.
   *
   * @param isFlapping whether it fails again and again
   */
  public record StateStoreLink(LinkState state, boolean isFlapping) {}

  /**
   * The machines of a leader; none for any other node.
   *
   * @param unreachableZones the zones that the node takes for unreachable
   * @param unreachableFor for how long many machines of several zones have been unreachable; empty
   *     while they are not
   */
  public record Fleet(
      FleetReachability machines,
      Set<String> unreachableZones,
      Optional<Duration> unreachableFor) {}
}
