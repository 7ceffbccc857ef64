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
   * @param isStateStoreReachable whether it reaches the state service
   * @param stateReadAgeMillis how long ago it sent its last reading of the state that succeeded, in
   *     ms
   * @param redirectedWorkers how many workers have lately come to it although it told them who
   *     leads
   * @param writeRateTenths how many changes of records it has lately made, in tenths for a second
   * @param retainedRecords what it remembers of the records
   * @param links what it makes of its links
   */
  record PeerHeartbeat(
      String node,
      long term,
      boolean isStateStoreReachable,
      int stateReadAgeMillis,
      int redirectedWorkers,
      int writeRateTenths,
      RetainedRecordsSummary retainedRecords,
      LinkSummary links) {}

  /**
   * What a node remembers of the records, for rebuilding them.
   *
   * @param recoveryPhase what it does about a loss, by a number that the recovery gives it
   * @param incarnation the incarnation that it remembers, -1 for none
   * @param nonce of that incarnation
   * @param revision how far it remembers
   * @param wasLeader whether it surely led when it saw a loss
   * @param contributedRebuild the rebuild to which it has added what it knew
   */
  record RetainedRecordsSummary(
      int recoveryPhase,
      long incarnation,
      String nonce,
      long revision,
      boolean wasLeader,
      long contributedRebuild) {
    /** Of a node that does not look for losses. */
    public static final RetainedRecordsSummary NONE =
        new RetainedRecordsSummary(0, -1, "", 0, false, 0);
  }

  /** Sends the heartbeat to all other nodes, where they can be reached now. */
  void broadcast(PeerHeartbeat heartbeat);
}
