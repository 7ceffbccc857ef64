package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.recovery.SnapshotFile;
import io.cherryspool.store.RecordsSnapshot;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output of the snapshot commands and their exit statuses. */
class SnapshotCommandTest extends CapturedOutputFixture {
  @TempDir private Path folder;
  private Path valid;
  private Path corrupted;

  @BeforeEach
  void writeSnapshots() throws IOException {
    valid = folder.resolve("1-1-1.snapshot");
    Files.write(valid, new SnapshotFile(RecordsSnapshot.EMPTY, Instant.EPOCH).encode());
    corrupted = Files.writeString(folder.resolve("2-1-1.snapshot"), "hello");
  }

  @Test
  void verifyAcceptsAValidSnapshot() {
    assertEquals(0, run("snapshot", "verify", valid.toString()));
    assertTrue(printedOutput().contains("1-1-1.snapshot is good: taken 1970"), printedOutput());
  }

  @Test
  void verifyReportsTheFaultOfACorruptedSnapshot() {
    assertEquals(1, run("snapshot", "verify", corrupted.toString()));
    assertTrue(errorOutput().contains("NOT_A_SNAPSHOT"));
  }

  @Test
  void verifyRejectsAMissingFile() {
    assertEquals(1, run("snapshot", "verify", folder.resolve("none").toString()));
    assertTrue(errorOutput().contains("is not a file"));
  }

  @Test
  void listShowsValidAndCorruptedSnapshots() {
    assertEquals(0, run("snapshot", "list", folder.toString()));
    String listed = printedOutput();
    assertTrue(listed.contains("1-1-1.snapshot  taken 1970"), listed);
    assertTrue(listed.contains("2-1-1.snapshot  NOT_A_SNAPSHOT"), listed);
  }

  @Test
  void listRejectsAnEmptyDirectory(@TempDir Path empty) {
    assertEquals(1, run("snapshot", "list", empty.toString()));
    assertTrue(errorOutput().contains("holds no snapshots"));
  }

  @Test
  void exitsWithTwoOnAUsageError() {
    assertEquals(2, run("snapshot"));
    assertEquals(2, run("snapshot", "verify"));
  }
}
