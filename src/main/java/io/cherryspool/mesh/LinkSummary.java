package io.cherryspool.mesh;

import java.util.List;

/**
 * The state of a node's links, as it publishes it to the other nodes. Its size depends on the
 * numbers of controllers and zones, and not on the number of machines.
 *
 * <p>It has more components than seven, one for each field of the message.
 *
 * @param isLeading whether the node leads and may answer workers
 * @param address where the node takes users' requests; empty if that is not known
 * @param stateStore its link to the state store
 * @param cloud its link to the cloud; up for a node that does not use it
 * @param wasStalled whether the node was paused lately, or fell behind, so that messages that it
 *     missed prove nothing
 * @param leadershipPenalty how often it lately lost its leadership while it lived, in tenths
 * @param verdict what it does about its links, and why
 * @param peers its links from the other nodes
 * @param zones its links from the workers of each zone
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
  /** The summary of a node whose version sends none. */
  public static final LinkSummary NONE =
      new LinkSummary(false, "", LinkState.UP, LinkState.UP, false, 0, "", List.of(), List.of());

  /**
   * The link from another node.
   *
   * @param node the other node's name
   * @param heartbeatAgeMillis how long ago its last heartbeat arrived; -1 if none ever did
   */
  public record PeerLink(String node, LinkState state, int heartbeatAgeMillis) {}

  /**
   * The links from the workers of a zone.
   *
   * @param knownMachines how many machines the node knows there; 0 if it does not lead
   * @param missingMachines how many of them send no heartbeats, or do not receive the replies
   * @param redirectedWorkers how many workers of the zone send their heartbeats to this node
   *     although another one leads
   */
  public record ZoneLink(
      String zone,
      LinkState state,
      int knownMachines,
      int missingMachines,
      int redirectedWorkers) {}
}
