package io.cherryspool.reachability;

/** Why a node does what it does about its links. */
public enum Reason {
  /** Nothing is wrong. */
  ALL_UP("all links are up as far as is known"),

  /** The link to the state store is down. */
  STATE_UNREACHABLE("the state service does not answer this node"),

  /** Machines of several zones became unreachable together, rather by this node's own link. */
  FLEET_UNREACHABLE("many machines of several zones are not heard at once"),

  /** Machines of a zone became unreachable together, rather by the zone's link. */
  ZONES_UNREACHABLE("many machines of a zone are not heard at once"),

  /** Other nodes count the workers that this leader misses. */
  WORKERS_REACH_OTHER_NODES("the missing workers come to other nodes"),

  /** This leader receives heartbeats from no node, and from half of its workers at the most. */
  NO_PEERS_AND_WORKERS_MISSING("no other node is heard, and half of the workers are missing"),

  /** The last leader handed over to another node, which is to stand first. */
  NOT_THE_SUCCESSOR("the last leader made way for another node"),

  /** This node was the leader that handed over last. */
  HANDED_OVER_LAST("this node was the last to make way"),

  /** The link to the state store is up and down by turns. */
  STATE_LINK_FLAPS("this node's link to the state service fails again and again");

  private final String text;

  Reason(String text) {
    this.text = text;
  }

  /** The reason in English. Heartbeats carry it and {@code /links} shows it: it may not change. */
  public String text() {
    return text;
  }
}
