package io.cherryspool.reachability;

/** The reason for a {@link Verdict}. */
public enum Reason {
  /** All links are up, as far as the node knows. */
  ALL_UP("all links are up as far as is known"),

  /** The link to the state store is down. */
  STATE_UNREACHABLE("the state service does not answer this node"),

  /**
   * Machines of several zones became unreachable at the same time, so that this node's own link has
   * probably failed.
   */
  FLEET_UNREACHABLE("many machines of several zones are not heard at once"),

  /**
   * Machines of one zone became unreachable at the same time, so that the zone's link has probably
   * failed.
   */
  ZONES_UNREACHABLE("many machines of a zone are not heard at once"),

  /** The workers from which this leader receives no heartbeats send them to other nodes. */
  WORKERS_REACH_OTHER_NODES("the missing workers come to other nodes"),

  /** This leader receives heartbeats from no other node, and from at most half of its workers. */
  NO_PEERS_AND_WORKERS_MISSING("no other node is heard, and half of the workers are missing"),

  /**
   * The last leader handed leadership over to another node, which should run for election first.
   */
  NOT_THE_SUCCESSOR("the last leader made way for another node"),

  /** This node was the last leader and handed leadership over. */
  HANDED_OVER_LAST("this node was the last to make way"),

  /** This node's link to the state store fails repeatedly. */
  STATE_LINK_FLAPS("this node's link to the state service fails again and again");

  private final String text;

  Reason(String text) {
    this.text = text;
  }

  /**
   * The text of the reason. Heartbeats contain it and {@code /links} shows it, so it must not
   * change.
   */
  public String text() {
    return text;
  }
}
