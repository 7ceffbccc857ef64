package io.cherryspool.reachability;

/** Why a node does what it does about its links. */
public enum Reason {
  ALL_UP("all links are up as far as is known"),
  STATE_UNREACHABLE("the state service does not answer this node"),
  FLEET_UNREACHABLE("many machines of several zones are not heard at once"),
  ZONES_UNREACHABLE("many machines of a zone are not heard at once"),
  WORKERS_REACH_OTHER_NODES("the missing workers come to other nodes"),
  NO_PEERS_AND_WORKERS_MISSING("no other node is heard, and half of the workers are missing"),
  NOT_THE_SUCCESSOR("the last leader made way for another node"),
  HANDED_OVER_LAST("this node was the last to make way"),
  STATE_LINK_FLAPS("this node's link to the state service fails again and again");

  private final String text;

  Reason(String text) {
    this.text = text;
  }

  /** For people. */
  public String text() {
    return text;
  }
}
