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

/**
 * Tests that valid snapshot files are read back unchanged, and that invalid ones are rejected with
 * a fault.
 */
class SnapshotFileTest {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

  private final RecordsSnapshot records = RecordsSnapshotFixture.history(5, 200).get(199);
  private final byte[] valid = new SnapshotFile(records, NOW).encode();

  private static SnapshotFile.Fault fault(byte[] bytes) {
    return assertThrows(
            SnapshotFile.InvalidSnapshotException.class, () -> SnapshotFile.decode(bytes))
        .fault();
  }

  @Test
  void aWrittenSnapshotIsReadBackUnchanged() throws Exception {
    SnapshotFile read = SnapshotFile.decode(valid);
    assertEquals(NOW, read.takenAt());
    assertEquals(records.cluster(), read.records().cluster());
    assertEquals(records.position(), read.records().position());
    assertEquals(records.term(), read.records().term());
    assertEquals(RecordsSnapshotFixture.text(records), RecordsSnapshotFixture.text(read.records()));
  }

  /** Truncates a file to each shorter length, and changes each byte after the header. */
  @Test
  void truncatedAndChangedFilesAreRejected() {
    for (int length = 0; length < valid.length; length++) {
      SnapshotFile.Fault found = fault(Arrays.copyOf(valid, length));
      assertTrue(found == SnapshotFile.Fault.TORN || length < 30, length + " bytes: " + found);
    }
    int body = new String(valid, StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
    for (int at = body; at < valid.length; at++) {
      byte[] changed = valid.clone();
      changed[at] ^= 0x20;
      assertEquals(SnapshotFile.Fault.DAMAGED, fault(changed), "byte " + at);
    }
    assertEquals(SnapshotFile.Fault.DAMAGED, fault(Arrays.copyOf(valid, valid.length + 1)));
  }

  @Test
  void otherFilesAndNewerFormatsAreRejectedWithTheirFault() {
    assertEquals(
        SnapshotFile.Fault.NOT_A_SNAPSHOT, fault("hello\n".getBytes(StandardCharsets.UTF_8)));
    String newer =
        new String(valid, StandardCharsets.ISO_8859_1).replaceFirst("\"format\":1", "\"format\":2");
    assertEquals(
        SnapshotFile.Fault.NEWER_FORMAT, fault(newer.getBytes(StandardCharsets.ISO_8859_1)));
  }
}
