package io.cherryspool.controller.recovery;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.store.Incarnation;

/**
 * Converts the description of a node's retained records to and from the form that heartbeats
 * contain.
 */
final class RetainedRecordsCodec {
  private RetainedRecordsCodec() {}

  /** Returns the form that heartbeats contain; the phase is represented by its ordinal. */
  static Mesh.RetainedRecordsSummary encode(RetainedRecords retained) {
    return new Mesh.RetainedRecordsSummary(
        retained.phase().ordinal(),
        retained.position().incarnationNumber(),
        retained.nonce(),
        retained.position().revision(),
        retained.wasSoleLeader(),
        retained.contributedRebuild());
  }

  /**
   * Returns the description of the records that the sender retains. A phase that this version does
   * not know is read as {@link RetainedRecords.Phase#HOLDING}, in which a node does not serve.
   */
  static RetainedRecords decode(Mesh.RetainedRecordsSummary summary) {
    RetainedRecords.Phase[] phases = RetainedRecords.Phase.values();
    boolean isKnown = summary.recoveryPhase() >= 0 && summary.recoveryPhase() < phases.length;
    return new RetainedRecords(
        isKnown ? phases[summary.recoveryPhase()] : RetainedRecords.Phase.HOLDING,
        summary.nonce(),
        new Incarnation.HistoryPosition(summary.incarnation(), summary.revision()),
        summary.wasLeader(),
        summary.contributedRebuild());
  }
}
