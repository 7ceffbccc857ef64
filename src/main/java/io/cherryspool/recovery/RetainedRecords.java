package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;

/**
 * Describes the records that a node retains, and the phase of its recovery. Nodes send it to one
 * another with each heartbeat. Only the revision in {@code position} counts as evidence of a loss.
 *
 * @param phase the phase of the node's recovery
 * @param nonce the nonce of the incarnation that the records belong to; empty for the first
 *     incarnation and if there are no records
 * @param position the position of the records in the history
 * @param wasSoleLeader whether the node was the leader with a certainly valid lease when it
 *     detected the loss, so that it knows every start of a task
 * @param contributedRebuild the incarnation number of the last rebuild to which the node has
 *     contributed its last writes, 0 before the first
 */
public record RetainedRecords(
    Phase phase,
    String nonce,
    Incarnation.HistoryPosition position,
    boolean wasSoleLeader,
    long contributedRebuild) {

  /**
   * The phase of a node's recovery. Neither the order nor the names of the constants may change,
   * because heartbeats carry the ordinals and operators see the names.
   */
  public enum Phase {
    /** The node has not loaded the records yet. */
    STARTING,
    /** The node reads and changes the records. */
    SERVING,
    /** The node knows that history was lost and waits for a rebuild. */
    HOLDING,
    /** The node is rebuilding the records. */
    REBUILDING
  }

  /** Whether the node retains records of any incarnation. */
  boolean hasRecords() {
    return position.incarnationNumber() >= 0;
  }

  /** Whether the records that the node retains belong to this incarnation. */
  boolean belongsTo(Incarnation incarnation) {
    return position.incarnationNumber() == incarnation.number()
        && nonce.equals(incarnation.nonce());
  }
}
