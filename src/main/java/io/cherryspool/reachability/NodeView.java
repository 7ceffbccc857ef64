package io.cherryspool.reachability;

import io.cherryspool.mesh.LinkState;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * The input of a {@link VerdictRule}: what a node knows of itself and of its links. Immutable.
 *
 * @param node the node's name
 * @param now the time at which the rule is applied, by the node's monotonic clock
 * @param leadership the node's role, and the recent changes of the leader
 * @param stateStoreLink the node's link to the state store
 * @param fleet how many of its machines the node reaches
 * @param matrix the heartbeats of the other nodes
 */
public record NodeView(
    String node,
    Duration now,
    Leadership leadership,
    StateStoreLink stateStoreLink,
    Fleet fleet,
    ReachabilityMatrix matrix) {

  /** The role of a node in the cluster. */
  public enum Role {
    /** The node leads. */
    LEADER,
    /** The node neither leads nor is about to run for election. */
    FOLLOWER,
    /** There is no leader, and the node may run for election. */
    CANDIDATE
  }

  /**
   * The node's role, and the recent changes of the leader.
   *
   * @param healthyFor for how long this node has run on time and been able to answer workers, see
   *     {@link LocalHealth}
   * @param penalty how often leaders of the cluster have recently lost leadership, see {@link
   *     FlapDamper}
   * @param handover the handover by which the last term ended; empty if it ended otherwise
   */
  public record Leadership(
      Role role, Duration healthyFor, double penalty, Optional<Handover> handover) {}

  /**
   * The handover of leadership by a former leader.
   *
   * @param successor the node that should lead next; {@link Verdict.HandOverLeadership#ANY_NODE}
   *     for any node
   * @param formerLeader the node that handed leadership over
   */
  public record Handover(String successor, String formerLeader) {}

  /**
   * The node's link to the state store.
   *
   * @param isFlapping whether the link fails repeatedly, see {@link FlapDamper}
   */
  public record StateStoreLink(LinkState state, boolean isFlapping) {}

  /**
   * The machines of a leader; without any machines for other nodes.
   *
   * @param unreachableZones the zones that the node considers unreachable
   * @param unreachableFor for how long many machines in several zones have been unreachable; empty
   *     if they are not
   */
  public record Fleet(
      FleetReachability reachability,
      Set<String> unreachableZones,
      Optional<Duration> unreachableFor) {}
}
