package io.cherryspool.mesh;

import java.util.List;

/**
 * The state of a node's links, as the node sends it to the other nodes. Its size depends on the
 * numbers of controllers and zones, not on the number of machines.
 *
 * <p>The record has more than seven components, because it has one for each field of the message.
 *
 * @param isLeading whether the node leads and may answer workers
 * @param address the address at which the node serves users' requests; empty if it is not known
 * @param stateStore the node's link to the state store
 * @param cloud the node's link to the cloud; up for a node that does not use it
 * @param wasStalled whether the node recently stalled or fell behind, so that it may itself be the
 *     cause of missing messages
 * @param leadershipPenalty how often the node has recently lost leadership while its process kept
 *     running, in tenths of a loss
 * @param verdict what the node does about its links, and the reason
 * @param peers the node's links from the other nodes
 * @param zones the node's links from the workers of each zone
 */
public record LinkSummary(
    boolean isLeading,
    String address,
    LinkState stateStore,
    LinkState cloud,
    boolean wasStalled,
    int leadershipPenalty,
    String verdict,
    List<PeerLink> peers,
    List<ZoneLink> zones) {
  /** The summary of a node whose version does not send one. */
  public static final LinkSummary NONE =
      new LinkSummary(false, "", LinkState.UP, LinkState.UP, false, 0, "", List.of(), List.of());

  /**
   * The link from another node.
   *
   * @param node the name of the other node
   * @param heartbeatAgeMillis how long ago its last heartbeat arrived; -1 if none has ever arrived
   */
  public record PeerLink(String node, LinkState state, int heartbeatAgeMillis) {}

  /**
   * The links from the workers of a zone.
   *
   * @param knownMachines how many machines of the zone the node knows; 0 if it does not lead
   * @param missingMachines how many of them send no heartbeats in time, or do not receive the
   *     answers
   * @param redirectedWorkers how many workers of the zone have recently sent their heartbeats to
   *     this node while another one led
   */
  public record ZoneLink(
      String zone,
      LinkState state,
      int knownMachines,
      int missingMachines,
      int redirectedWorkers) {}
}
