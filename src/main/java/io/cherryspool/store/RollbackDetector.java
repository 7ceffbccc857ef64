package io.cherryspool.store;

import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;

/**
 * Detects that the state store lost data or was rolled back to an earlier revision, by checking
 * that each answer continues the history that this node knows. {@link StateStoreClient} and {@link
 * Replica} call it on the event loop. When it detects a loss, it suspends the replica.
 */
public interface RollbackDetector {

  /** The kinds of evidence of a data loss. Operators see the names of these constants. */
  enum Loss {
    /** An answer has a lower revision than the one that was known when its request was sent. */
    REVISION_WENT_BACK,
    /** The identity record is missing or older than before. */
    INCARNATION_GONE,
    /** Records that are never removed are missing or were written again. */
    RECORDS_GONE,
    /** The last known change is not part of the history. */
    CHANGE_MISSING,
    /** The bundles of a rebuild do not match its manifest. */
    BUNDLES_DAMAGED,
    /** A term that has begun is not recorded. */
    TERM_MISSING,
    /** The state store does not know a lease that was renewed in time. */
    LEASE_FORGOTTEN,
    /** A worker runs a task whose start is not recorded. */
    START_MISSING;

    /**
     * Whether the loss shows that another node may have been the leader in the lost part of the
     * history.
     */
    public boolean showsAnotherLeader() {
      return this == TERM_MISSING || this == START_MISSING;
    }
  }

  /** The lowest revision that the answer to a request sent now may have. */
  long minimumRevision();

  /**
   * Checks the revision of an answer and reports a loss if it is too low.
   *
   * @param minimum the {@link #minimumRevision} when the request was sent, plus one for a
   *     transaction that was applied
   * @return whether the answer continues the known history; if not, it must not be used
   */
  boolean verifyRevision(long minimum, long revision);

  /**
   * Called when the identity record has changed, or when the conditions of a transaction show that
   * it has another version.
   */
  void onIncarnationChanged();

  /**
   * Reports a loss that was detected in another way.
   *
   * @param detail what is missing, for the log
   */
  void reportLoss(Loss loss, String detail);

  /**
   * Called when all records of the current incarnation were read and are consistent with the known
   * history.
   */
  void onRecordsLoaded();

  /**
   * Called when a transaction of this node was applied at a revision. The keys of the changes are
   * logical.
   */
  void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision);

  /** A detector that detects nothing. */
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
          // The identity record is not used without recovery.
        }

        @Override
        public void reportLoss(Loss loss, String detail) {
          // Losses are ignored without recovery.
        }

        @Override
        public void onRecordsLoaded() {
          // There is nothing to do without recovery.
        }

        @Override
        public void onCommitApplied(List<StateStoreProtocol.Change> changes, long revision) {
          // Changes are not retained without recovery.
        }
      };
}
