package io.cherryspool.recovery;

import io.cherryspool.store.Incarnation;

/**
 * What a node remembers of the records, and what it does about their loss. Nodes tell one another
 * with each heartbeat; nothing here is proof of anything but the revision that the node has seen.
 *
 * @param nonce of the incarnation that it remembers, empty for the first and for none
 * @param position how far its memory reaches
 * @param wasSoleLeader whether it led by a lease that surely held when it saw the loss, so that it
 *     knows of every start that was ever ordered
 * @param contributedRebuild the number of the rebuild to which it has added its own last writes
 */
public record RetainedRecords(
    Phase phase,
    String nonce,
    Incarnation.HistoryPosition position,
    boolean wasSoleLeader,
    long contributedRebuild) {

  /** What a node does. */
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

  boolean hasRecords() {
    return position.incarnationNumber() >= 0;
  }

  boolean belongsTo(Incarnation incarnation) {
    return position.incarnationNumber() == incarnation.number()
        && nonce.equals(incarnation.nonce());
  }
}
