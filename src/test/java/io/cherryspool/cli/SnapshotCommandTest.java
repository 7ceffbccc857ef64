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

/** What the snapshot commands print of a directory, and their exit statuses. */
class SnapshotCommandTest extends CapturedOutputFixture {
  @TempDir private Path folder;
  private Path good;
  private Path broken;

  @BeforeEach
  void writeSnapshots() throws IOException {
    good = folder.resolve("1-1-1.snapshot");
    Files.write(good, new SnapshotFile(RecordsSnapshot.EMPTY, Instant.EPOCH).encode());
    broken = Files.writeString(folder.resolve("2-1-1.snapshot"), "hello");
  }

  @Test
  void verifyAcceptsAGoodSnapshot() {
    assertEquals(0, run("snapshot", "verify", good.toString()));
    assertTrue(printed().contains("1-1-1.snapshot is good: taken 1970"), printed());
  }

  @Test
  void verifyNamesTheFaultOfABrokenSnapshot() {
    assertEquals(1, run("snapshot", "verify", broken.toString()));
    assertTrue(errors().contains("NOT_A_SNAPSHOT"));
  }

  @Test
  void verifyRefusesAMissingFile() {
    assertEquals(1, run("snapshot", "verify", folder.resolve("none").toString()));
    assertTrue(errors().contains("is not a file"));
  }

  @Test
  void listShowsGoodAndBrokenSnapshots() {
    assertEquals(0, run("snapshot", "list", folder.toString()));
    String listed = printed();
    assertTrue(listed.contains("1-1-1.snapshot  taken 1970"), listed);
    assertTrue(listed.contains("2-1-1.snapshot  NOT_A_SNAPSHOT"), listed);
  }

  @Test
  void listRefusesAnEmptyDirectory(@TempDir Path empty) {
    assertEquals(1, run("snapshot", "list", empty.toString()));
    assertTrue(errors().contains("holds no snapshots"));
  }

  @Test
  void wrongUseHasExitStatusTwo() {
    assertEquals(2, run("snapshot"));
    assertEquals(2, run("snapshot", "verify"));
  }
}
