package io.cherryspool.mesh;

import java.util.List;

/**
 * What a node tells the others of its links. Its size depends on the numbers of controllers and
 * zones, and not on the number of machines.
 *
 * @param isLeading whether it leads and may answer workers
 * @param address where it takes users' requests; empty if that is not known
 * @param stateStore its link to the state service
 * @param cloud its link to the cloud; up for a node that does not use it
 * @param wasStalled whether it stood still lately, or fell behind, so that what it did not hear
 *     tells nothing
 * @param leadershipPenalty how often it lately lost its leadership while it lived, in tenths
 * @param verdict what it does about its links, and why
 * @param peers how it hears the other nodes
 * @param zones how it hears the workers of each zone
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
  /** Of a node that tells nothing of its links. */
  public static final LinkSummary NONE =
      new LinkSummary(false, "", LinkState.UP, LinkState.UP, false, 0, "", List.of(), List.of());

  /** How it hears another node, and how long ago the last heartbeat came, in ms; -1 for never. */
  public record PeerLink(String node, LinkState state, int heartbeatAgeMillis) {}

  /**
   * How it hears the workers of a zone.
   *
   * @param knownMachines how many machines it knows there; 0 for a node that does not lead
   * @param missingMachines how many of them it does not hear, or do not hear it
   * @param redirectedWorkers how many workers of the zone come to it although another node leads
   */
  public record ZoneLink(
      String zone,
      LinkState state,
      int knownMachines,
      int missingMachines,
      int redirectedWorkers) {}
}
