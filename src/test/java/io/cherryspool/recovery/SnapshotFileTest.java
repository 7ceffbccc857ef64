package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotFixture;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** That snapshot files are read as they were written, and refused with a fault otherwise. */
class SnapshotFileTest {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

  private final RecordsSnapshot records = RecordsSnapshotFixture.history(5, 200).get(199);
  private final byte[] good = new SnapshotFile(records, NOW).encode();

  private static SnapshotFile.Fault fault(byte[] bytes) {
    return assertThrows(
            SnapshotFile.InvalidSnapshotException.class, () -> SnapshotFile.decode(bytes))
        .fault();
  }

  @Test
  void whatIsWrittenIsReadAgain() throws Exception {
    SnapshotFile read = SnapshotFile.decode(good);
    assertEquals(NOW, read.takenAt());
    assertEquals(records.cluster(), read.records().cluster());
    assertEquals(records.position(), read.records().position());
    assertEquals(records.term(), read.records().term());
    assertEquals(RecordsSnapshotFixture.text(records), RecordsSnapshotFixture.text(read.records()));
  }

  /** However short it was cut, and whichever byte has changed. */
  @Test
  void whatIsCutOrChangedIsRefused() {
    for (int length = 0; length < good.length; length++) {
      SnapshotFile.Fault found = fault(Arrays.copyOf(good, length));
      assertTrue(found == SnapshotFile.Fault.TORN || length < 30, length + " bytes: " + found);
    }
    int body = new String(good, StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
    for (int at = body; at < good.length; at++) {
      byte[] changed = good.clone();
      changed[at] ^= 0x20;
      assertEquals(SnapshotFile.Fault.DAMAGED, fault(changed), "byte " + at);
    }
    assertEquals(SnapshotFile.Fault.DAMAGED, fault(Arrays.copyOf(good, good.length + 1)));
  }

  @Test
  void otherFilesAndNewerFormatsAreRefusedByName() {
    assertEquals(
        SnapshotFile.Fault.NOT_A_SNAPSHOT, fault("hello\n".getBytes(StandardCharsets.UTF_8)));
    String newer =
        new String(good, StandardCharsets.ISO_8859_1).replaceFirst("\"format\":1", "\"format\":2");
    assertEquals(
        SnapshotFile.Fault.NEWER_FORMAT, fault(newer.getBytes(StandardCharsets.ISO_8859_1)));
  }
}
