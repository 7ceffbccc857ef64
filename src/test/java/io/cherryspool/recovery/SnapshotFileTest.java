package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotFixture;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** That snapshots are read as they were written, and refused by name where they were not. */
class SnapshotFileTest {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

  private final RecordsSnapshot picture = RecordsSnapshotFixture.history(5, 200).get(199);
  private final byte[] good = new SnapshotFile(picture, NOW).encode();

  private static SnapshotFile.Fault fault(byte[] bytes) {
    return assertThrows(
            SnapshotFile.InvalidSnapshotException.class, () -> SnapshotFile.decode(bytes))
        .fault();
  }

  @Test
  void whatIsWrittenIsReadAgain() throws Exception {
    SnapshotFile read = SnapshotFile.decode(good);
    assertEquals(NOW, read.takenAt());
    assertEquals(picture.cluster(), read.records().cluster());
    assertEquals(picture.position(), read.records().position());
    assertEquals(picture.term(), read.records().term());
    assertEquals(RecordsSnapshotFixture.text(picture), RecordsSnapshotFixture.text(read.records()));
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

  @Test
  void aDirectoryKeepsTheNewestAndFallsBackToAnOlderOne(@TempDir Path folder) throws Exception {
    Path directory = folder.resolve("kept");
    SnapshotRepository snapshots = new SnapshotRepository(new DirectorySnapshotStore(directory));
    assertTrue(snapshots.readNewest().isEmpty(), "there is none yet");
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(5, 200);
    for (int step = 10; step < 200; step += 30) {
      assertEquals(Optional.empty(), snapshots.write(history.get(step), NOW).failure());
    }
    List<String> names = new DirectorySnapshotStore(directory).names();
    assertEquals(3, names.size());
    assertEquals(191, snapshots.readNewest().orElseThrow().records().position().revision());
    Path newest = directory.resolve(names.get(0));
    Files.write(newest, Arrays.copyOf(Files.readAllBytes(newest), 300));
    // Half-written files of a process that ended are never looked at.
    Files.write(directory.resolve("9999999999-1-1.snapshot.part"), new byte[] {1});
    assertEquals(161, snapshots.readNewest().orElseThrow().records().position().revision());
  }

  @Test
  void aDirectoryThatCannotBeWrittenIsSaidSo(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("file"), "x");
    SnapshotRepository snapshots =
        new SnapshotRepository(new DirectorySnapshotStore(file.resolve("below")));
    assertTrue(snapshots.write(picture, NOW).failure().isPresent());
    assertTrue(snapshots.readNewest().isEmpty());
  }
}
