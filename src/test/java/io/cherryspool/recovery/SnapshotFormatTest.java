package io.cherryspool.recovery;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.compatibility.RecordedBytes;
import io.cherryspool.compatibility.SampleRecords;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.wire.CloudProtocol;
import io.cherryspool.wire.MalformedMessageException;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the content and the names of snapshot files have the format of version 0.1.0. */
class SnapshotFormatTest {
  private static final String FILE = "records.snapshot";
  private static final Instant TAKEN_AT = Instant.ofEpochMilli(1_764_693_000_456L);
  private static final RecordsSnapshot RECORDS =
      new RecordsSnapshot(
          "cluster-1",
          "9f3a",
          new Incarnation.HistoryPosition(3, 123_456_790),
          41,
          CloudProtocol.encodeCatalog(SampleRecords.CATALOG),
          SampleRecords.jobs());

  @Test
  void recordedFilesAreReadAndWrittenUnchanged() throws Exception {
    assertRecorded(FILE, new SnapshotFile(RECORDS, TAKEN_AT).encode());
    SnapshotFile read = SnapshotFile.decode(RecordedBytes.read(FILE));
    assertEquals(TAKEN_AT, read.takenAt());
    assertEquals("cluster-1", read.records().cluster());
    assertEquals("9f3a", read.records().nonce());
    assertEquals(new Incarnation.HistoryPosition(3, 123_456_790), read.records().position());
    assertEquals(41, read.records().term());
    assertEquals(SampleRecords.CATALOG, CloudProtocol.parseCatalog(read.records().catalog()));
    assertEquals(2, read.records().jobs().size());
    assertRecorded(FILE, read.encode());
  }

  @Test
  void fileNamesSortByIncarnationAndRevision(@TempDir Path folder)
      throws IOException, MalformedMessageException {
    DirectorySnapshotStore directory = new DirectorySnapshotStore(folder);
    assertEquals(
        Optional.empty(), new SnapshotRepository(directory).write(RECORDS, TAKEN_AT).failure());
    assertEquals(List.of("0000000003-0000000123456790-1764693000456.snapshot"), directory.names());
  }

  /** Heartbeats carry the ordinals of the phases. */
  @Test
  void recoveryPhasesKeepTheirOrdinals() {
    assertEquals(0, RetainedRecords.Phase.STARTING.ordinal());
    assertEquals(1, RetainedRecords.Phase.SERVING.ordinal());
    assertEquals(2, RetainedRecords.Phase.HOLDING.ordinal());
    assertEquals(3, RetainedRecords.Phase.REBUILDING.ordinal());
    assertEquals(4, RetainedRecords.Phase.values().length);
  }
}
