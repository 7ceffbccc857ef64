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
   */
  record Heartbeat(
      String node, long term, boolean state, int silence, int redirectedWorkers, int writes) {}

  /** Sends the heartbeat to all other nodes, where they can be reached now. */
  void broadcast(Heartbeat heartbeat);
}
