package io.cherryspool.mesh;

/**
 * Sends heartbeats to the other controller nodes. Delivery is best-effort: no decision that affects
 * correctness depends on it.
 */
@FunctionalInterface
public interface Mesh {

  /**
   * The state of a node, as the node sends it to the other nodes.
   *
   * <p>The record has more than seven components, because it has one for each field of the message.
   *
   * @param node the name of the sender
   * @param term the highest term that the sender knows
   * @param isStateStoreReachable whether the sender reaches the state store
   * @param stateStoreReadAgeMillis how long ago the sender sent its last successful read of the
   *     state store
   * @param redirectedWorkers how many workers the sender has recently redirected to the leader
   * @param writeRateTenths the sender's recent rate of changes of records, in tenths of a change
   *     per second
   * @param retainedRecords which records the sender retains
   * @param links the state of the sender's links
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
   * Describes the copy of the records that a node retains, from which lost records can be rebuilt.
   *
   * @param recoveryPhase the node's phase of recovery, as the ordinal of the phase in {@code
   *     recovery}
   * @param incarnation the number of the incarnation that the node retains; -1 for none
   * @param nonce the nonce of that incarnation
   * @param revision the revision up to which the node retains the records
   * @param wasLeader whether the node was certain to be the only leader when it detected a loss
   * @param contributedRebuild the number of the rebuild to which the node has contributed its
   *     records
   */
  record RetainedRecordsSummary(
      int recoveryPhase,
      long incarnation,
      String nonce,
      long revision,
      boolean wasLeader,
      long contributedRebuild) {
    /** The summary of a node that does not detect losses of records. */
    public static final RetainedRecordsSummary NONE =
        new RetainedRecordsSummary(0, -1, "", 0, false, 0);
  }

  /** Sends the heartbeat to all other nodes that are reachable now. Called on the event loop. */
  void broadcast(PeerHeartbeat heartbeat);
}
