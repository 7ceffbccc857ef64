package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;

/**
 * What a node retains of the records, and what it does about their loss. Nodes send it to one
 * another with each heartbeat; it proves nothing but the revision that the node has seen.
 *
 * @param nonce of the incarnation that it retains, empty for the first and for none
 * @param position how far what it retains reaches
 * @param wasSoleLeader whether it led by a lease that surely held when it detected the loss, so
 *     that it knows of every start that was ever commanded
 * @param contributedRebuild the incarnation number of the last rebuild to which it has added its
 *     own last writes, 0 before the first
 */
public record RetainedRecords(
    Phase phase,
    String nonce,
    Incarnation.HistoryPosition position,
    boolean wasSoleLeader,
    long contributedRebuild) {

  /**
   * What a node does. Heartbeats carry the ordinal numbers, and operators are shown the names, so
   * that neither may change.
   */
  public enum Phase {
    /** It has not read the records yet. */
    STARTING,
    /** It reads and changes the records. */
    SERVING,
    /** It knows that history was lost, and waits for the rebuild. */
    HOLDING,
    /** It rebuilds. */
    REBUILDING
  }

  /** Whether the node retains records of any incarnation. */
  boolean hasRecords() {
    return position.incarnationNumber() >= 0;
  }

  /** Whether what the node retains is of this incarnation. */
  boolean belongsTo(Incarnation incarnation) {
    return position.incarnationNumber() == incarnation.number()
        && nonce.equals(incarnation.nonce());
  }
}
