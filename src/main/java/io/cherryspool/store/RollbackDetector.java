package io.cherryspool.store;

import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;

/**
 * Watches over the history that the state service tells: whether each answer belongs to the history
 * that this node knows. Told by {@link StateStoreClient} and {@link ClusterRecords}; called on the
 * event loop.
 */
public interface RollbackDetector {

  /** How a loss of history shows. */
  enum Loss {
    /** An answer is older than what was known when its request was sent. */
    REVISION_WENT_BACK,
    /** The identity record is gone or older than before. */
    INCARNATION_GONE,
    /** Records that are never removed are missing or were written anew. */
    RECORDS_GONE,
    /** The last change known is not part of the history. */
    CHANGE_MISSING,
    /** The bundles of a rebuild are not those that its identity record names. */
    BUNDLES_DAMAGED,
    /** A term that was given out is not recorded. */
    TERM_MISSING,
    /** A lease that was renewed in time is unknown. */
    LEASE_FORGOTTEN,
    /** A worker has a task of which the records know no such start. */
    START_MISSING;

    /** Whether somebody else may have led in what was lost, whoever led when it was noticed. */
    public boolean showsAnotherLeader() {
      return this == TERM_MISSING || this == START_MISSING;
    }
  }

  /** The least revision that an answer to a request sent now can tell. */
  long minimumRevision();

  /**
   * Takes in the revision of an answer.
   *
   * @param floor what {@link #minimumRevision} was when the request was sent, one more for a
   *     transaction that was applied
   * @return false if the answer belongs to another history, and must not be used
   */
  boolean verifyRevision(long floor, long revision);

  /** The identity record has changed, or a transaction met another version of it. */
  void onIncarnationChanged();

  /** Something else proves that history was lost. */
  void reportLoss(Loss loss, String detail);

  /** The records of the present incarnation were read as a whole. */
  void onRecordsLoaded();

  /** A transaction of this node was applied. */
  void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision);

  /** Of a node that does not look for losses. */
  RollbackDetector DISABLED =
      new RollbackDetector() {
        @Override
        public long minimumRevision() {
          return 0;
        }

        @Override
        public boolean verifyRevision(long floor, long revision) {
          return true;
        }

        @Override
        public void onIncarnationChanged() {
          // There is no identity record.
        }

        @Override
        public void reportLoss(Loss loss, String detail) {
          // Nothing looks for losses.
        }

        @Override
        public void onRecordsLoaded() {
          // Nothing waits for it.
        }

        @Override
        public void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision) {
          // Nothing is remembered.
        }
      };
}
