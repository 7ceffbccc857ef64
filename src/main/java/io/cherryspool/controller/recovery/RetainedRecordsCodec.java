package io.cherryspool.controller.recovery;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.store.Incarnation;

/** Converts what a node retains of the records to and from the form that heartbeats carry. */
final class RetainedRecordsCodec {
  private RetainedRecordsCodec() {}

  /** The form that heartbeats carry; the phase is its ordinal. */
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
   * What the sender retains; a phase that this version does not know counts as one in which the
   * node does not serve.
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
