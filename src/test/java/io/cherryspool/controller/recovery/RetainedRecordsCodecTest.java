package io.cherryspool.controller.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.store.Incarnation;
import org.junit.jupiter.api.Test;

/**
 * That heartbeats carry a node's memory as version 0.1.0 did; HeartbeatFormatTest has the bytes.
 */
class RetainedRecordsCodecTest {
  private static final RetainedRecords MEMORY =
      new RetainedRecords(
          RetainedRecords.Phase.REBUILDING,
          "9f3a",
          new Incarnation.HistoryPosition(3, 1L << 50),
          true,
          4);
  private static final Mesh.RetainedRecordsSummary CARRIED =
      new Mesh.RetainedRecordsSummary(3, 3, "9f3a", 1L << 50, true, 4);

  @Test
  void eachFieldHasItsPlace() {
    assertEquals(CARRIED, RetainedRecordsCodec.encode(MEMORY));
    assertEquals(MEMORY, RetainedRecordsCodec.decode(CARRIED));
  }

  @Test
  void aPhaseOfALaterVersionIsOneInWhichTheNodeHolds() {
    Mesh.RetainedRecordsSummary later = new Mesh.RetainedRecordsSummary(4, 3, "9f3a", 1, false, 0);
    assertEquals(RetainedRecords.Phase.HOLDING, RetainedRecordsCodec.decode(later).phase());
  }
}
