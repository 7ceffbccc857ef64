package io.cherryspool.mesh;

/**
 * Sends heartbeats to the other controller nodes; nothing that matters depends on their arrival.
 */
@FunctionalInterface
public interface Mesh {

  /**
   * How a node is, for the others.
   *
   * @param term the highest term it knows
   * @param state whether it reaches the state service
   * @param silence how long ago it sent its last reading of the state that succeeded, in ms
   * @param redirectedWorkers how many workers have lately come to it although it told them who
   *     leads
   * @param writes how many changes of records it has lately made, in tenths for a second
   * @param memory what it remembers of the records
   * @param links what it makes of its links
   */
  record Heartbeat(
      String node,
      long term,
      boolean state,
      int silence,
      int redirectedWorkers,
      int writes,
      Memory memory,
      LinkReport links) {}

  /**
   * What a node remembers of the records, for rebuilding them.
   *
   * @param phase what it does about a loss, by a number that the recovery gives it
   * @param incarnation the incarnation that it remembers, -1 for none
   * @param nonce of that incarnation
   * @param revision how far it remembers
   * @param led whether it surely led when it saw a loss
   * @param contributed the rebuild to which it has added what it knew
   */
  record Memory(
      int phase, long incarnation, String nonce, long revision, boolean led, long contributed) {
    /** Of a node that does not look for losses. */
    public static final Memory NONE = new Memory(0, -1, "", 0, false, 0);
  }

  /** Sends the heartbeat to all other nodes, where they can be reached now. */
  void broadcast(Heartbeat heartbeat);
}
