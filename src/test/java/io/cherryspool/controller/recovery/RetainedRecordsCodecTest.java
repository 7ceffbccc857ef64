package io.cherryspool.controller.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.mesh.Mesh;
import io.cherryspool.recovery.RetainedRecords;
import io.cherryspool.store.Incarnation;
import org.junit.jupiter.api.Test;

/**
 * Tests that heartbeats describe a node's retained records as those of version 0.1.0 do.
 * HeartbeatFormatTest compares the bytes.
 */
class RetainedRecordsCodecTest {
  private static final RetainedRecords RETAINED_RECORDS =
      new RetainedRecords(
          RetainedRecords.Phase.REBUILDING,
          "9f3a",
          new Incarnation.HistoryPosition(3, 1L << 50),
          true,
          4);
  private static final Mesh.RetainedRecordsSummary SUMMARY =
      new Mesh.RetainedRecordsSummary(3, 3, "9f3a", 1L << 50, true, 4);

  @Test
  void encodesAndDecodesEachField() {
    assertEquals(SUMMARY, RetainedRecordsCodec.encode(RETAINED_RECORDS));
    assertEquals(RETAINED_RECORDS, RetainedRecordsCodec.decode(SUMMARY));
  }

  @Test
  void decodesAnUnknownPhaseAsHolding() {
    Mesh.RetainedRecordsSummary later = new Mesh.RetainedRecordsSummary(4, 3, "9f3a", 1, false, 0);
    assertEquals(RetainedRecords.Phase.HOLDING, RetainedRecordsCodec.decode(later).phase());
  }
}
