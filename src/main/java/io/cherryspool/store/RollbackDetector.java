package io.cherryspool.store;

import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;

/**
 * Detects that the state store lost data or was set back to an earlier revision: checks that each
 * answer continues the history that this node knows. {@link StateStoreClient} and {@link Replica}
 * call it on the event loop; what shows a loss makes it suspend the replica.
 */
public interface RollbackDetector {

  /** What proves a loss. Operators see the names of these constants. */
  enum Loss {
    /** An answer has a lower revision than was known when its request was sent. */
    REVISION_WENT_BACK,
    /** The identity record is gone or older than before. */
    INCARNATION_GONE,
    /** Records that are never removed are missing or were written anew. */
    RECORDS_GONE,
    /** The last change known is not part of the history. */
    CHANGE_MISSING,
    /** The bundles of a rebuild do not match its manifest. */
    BUNDLES_DAMAGED,
    /** A term that was begun is not recorded. */
    TERM_MISSING,
    /** A lease that was renewed in time is unknown. */
    LEASE_FORGOTTEN,
    /** A worker runs a task whose start is not recorded. */
    START_MISSING;

    /** Whether another node may have led in the lost part of the history. */
    public boolean showsAnotherLeader() {
      return this == TERM_MISSING || this == START_MISSING;
    }
  }

  /** The lowest revision that the answer to a request sent now may have. */
  long minimumRevision();

  /**
   * Checks the revision of an answer, and reports a loss if it is too low.
   *
   * @param minimum {@link #minimumRevision} when the request was sent, one more for a transaction
   *     that was applied
   * @return whether the answer continues the known history; it must not be used otherwise
   */
  boolean verifyRevision(long minimum, long revision);

  /** The identity record has changed, or a transaction found another version of it. */
  void onIncarnationChanged();

  /**
   * Reports any other proof of a loss.
   *
   * @param detail for the log: what is missing
   */
  void reportLoss(Loss loss, String detail);

  /** All records of the present incarnation were read, and are consistent with what is known. */
  void onRecordsLoaded();

  /** A transaction of this node was applied at a revision; its keys are logical. */
  void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision);

  /** Detects nothing. */
  RollbackDetector DISABLED =
      new RollbackDetector() {
        @Override
        public long minimumRevision() {
          return 0;
        }

        @Override
        public boolean verifyRevision(long minimum, long revision) {
          return true;
        }

        @Override
        public void onIncarnationChanged() {
          // Without recovery there is no identity record.
        }

        @Override
        public void reportLoss(Loss loss, String detail) {
          // Losses are not looked for.
        }

        @Override
        public void onRecordsLoaded() {
          // Nothing depends on it.
        }

        @Override
        public void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision) {
          // Nothing is retained.
        }
      };
}
