package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshotFixture;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which snapshot files a directory keeps and which one is read. */
class SnapshotRepositoryTest {
  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

  @Test
  void theNewestFilesAreKeptAndAnOlderOneReplacesADamagedOne(@TempDir Path folder)
      throws Exception {
    Path directory = folder.resolve("kept");
    SnapshotRepository repository = new SnapshotRepository(new DirectorySnapshotStore(directory));
    assertTrue(repository.readNewest().isEmpty(), "the directory does not exist yet");
    List<RecordsSnapshot> history = RecordsSnapshotFixture.history(5, 200);
    for (int step = 10; step < 200; step += 30) {
      assertEquals(Optional.empty(), repository.write(history.get(step), NOW).failure());
    }
    List<String> names = new DirectorySnapshotStore(directory).names();
    assertEquals(3, names.size());
    assertEquals(191, repository.readNewest().orElseThrow().records().position().revision());
    Path newest = directory.resolve(names.get(0));
    Files.write(newest, Arrays.copyOf(Files.readAllBytes(newest), 300));
    // Unfinished files of an earlier process are never read.
    Files.write(directory.resolve("9999999999-1-1.snapshot.part"), new byte[] {1});
    assertEquals(161, repository.readNewest().orElseThrow().records().position().revision());
  }

  @Test
  void aFailedWriteIsReportedInTheResult(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("file"), "x");
    SnapshotRepository repository =
        new SnapshotRepository(new DirectorySnapshotStore(file.resolve("below")));
    assertTrue(repository.write(RecordsSnapshot.EMPTY, NOW).failure().isPresent());
    assertTrue(repository.readNewest().isEmpty());
  }
}
