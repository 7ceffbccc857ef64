package io.cherryspool.controller.recovery;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.store.Incarnation;

/** A node's memory as heartbeats carry it. */
final class RetainedRecordsCodec {
  private RetainedRecordsCodec() {}

  static Mesh.RetainedRecordsSummary encode(RetainedRecords memory) {
    return new Mesh.RetainedRecordsSummary(
        memory.phase().ordinal(),
        memory.position().incarnationNumber(),
        memory.nonce(),
        memory.position().revision(),
        memory.wasSoleLeader(),
        memory.contributedRebuild());
  }

  /** A phase that this version does not know is one in which the node does not serve. */
  static RetainedRecords decode(Mesh.RetainedRecordsSummary memory) {
    RetainedRecords.Phase[] phases = RetainedRecords.Phase.values();
    boolean known = memory.recoveryPhase() >= 0 && memory.recoveryPhase() < phases.length;
    return new RetainedRecords(
        known ? phases[memory.recoveryPhase()] : RetainedRecords.Phase.HOLDING,
        memory.nonce(),
        new Incarnation.HistoryPosition(memory.incarnation(), memory.revision()),
        memory.wasLeader(),
        memory.contributedRebuild());
  }
}
