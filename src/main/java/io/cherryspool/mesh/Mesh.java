package io.cherryspool.mesh;

/**
 * Sends heartbeats to the other controller nodes. Delivery is best-effort: no decision that must be
 * right depends on it.
 */
@FunctionalInterface
public interface Mesh {

  /**
   * How a node is, for the others.
   *
   * <p>It has more components than seven, one for each field of the message.
   *
   * @param node the sender's name
   * @param term the highest term that it knows
   * @param isStateStoreReachable whether it reaches the state store
   * @param stateStoreReadAgeMillis how long ago it sent its last read of the state store that
   *     succeeded
   * @param redirectedWorkers how many workers lately sent it heartbeats although it had redirected
   *     them to the leader
   * @param writeRateTenths how many changes of records it lately wrote, in tenths a second
   * @param retainedRecords what it retains of the records
   * @param links the state of its links
   */
  record PeerHeartbeat(
      String node,
      long term,
      boolean isStateStoreReachable,
      int stateStoreReadAgeMillis,
      int redirectedWorkers,
      int writeRateTenths,
      RetainedRecordsSummary retainedRecords,
      LinkSummary links) {}

  /**
   * What a node retains of the records, for rebuilding them.
   *
   * @param recoveryPhase what it does about a loss, by the number that {@code recovery} gives it
   * @param incarnation the number of the incarnation that it retains; -1 for none
   * @param nonce the nonce of that incarnation
   * @param revision up to which revision it retains the records
   * @param wasLeader whether it surely led when it detected a loss
   * @param contributedRebuild the rebuild to which it has contributed its records
   */
  record RetainedRecordsSummary(
      int recoveryPhase,
      long incarnation,
      String nonce,
      long revision,
      boolean wasLeader,
      long contributedRebuild) {
    /** The summary of a node that does not look for losses. */
    public static final RetainedRecordsSummary NONE =
        new RetainedRecordsSummary(0, -1, "", 0, false, 0);
  }

  /** Sends the heartbeat to all other nodes that can be reached now; called on the event loop. */
  void broadcast(PeerHeartbeat heartbeat);
}
