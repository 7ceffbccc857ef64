package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.recovery.SnapshotFile;
import io.cherryspool.store.RecordsSnapshot;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the commands print, and how they end. */
class RecoveryCommandTest extends CommandFixture {
  private volatile Request last;

  @Override
  Reply answer(Request request) {
    last = request;
    return switch (request.path()) {
      case "/recovery/status" -> json(200, "{\"phase\":\"serving\",\"losses\":1}");
      case "/recovery/resolve" -> json(409, "{\"error\":\"job req-000001 is not held\"}");
      default -> json(404, "{\"error\":\"no such thing\"}");
    };
  }

  @Test
  void statusIsPrinted() {
    assertEquals(0, run("recovery", "status", "--node", node));
    assertTrue(printed().contains("\"phase\" : \"serving\""));
  }

  @Test
  void aRefusalEndsWithOneAndItsReason() {
    assertEquals(1, run("recovery", "resolve", "--node", node, "req-000001", "--repeat"));
    assertTrue(complaints().contains("job req-000001 is not held"));
    assertEquals(
        "{\"job\":\"req-000001\",\"decision\":\"repeat\"}",
        new String(last.body(), StandardCharsets.UTF_8));
  }

  @Test
  void aNodeThatLooksForNoLossesAndOneThatIsNotThereAreSaidSo() {
    assertEquals(1, run("recovery", "held", "--node", node));
    assertTrue(complaints().contains("recovery is off"));
    assertEquals(1, run("recovery", "status", "--node", "127.0.0.1:1"));
    assertTrue(complaints().contains("can't be reached"));
  }

  @Test
  void wrongUseEndsWithTwo() {
    assertEquals(2, run("recovery"));
    assertEquals(2, run("recovery", "status"));
    assertEquals(2, run("recovery", "status", "--node", "not an address"));
    assertEquals(2, run("recovery", "resolve", "--node", node, "req-000001"));
    assertEquals(
        2, run("recovery", "resolve", "--node", node, "req-000001", "--repeat", "--abandon"));
    assertEquals(2, run("snapshot"));
    assertEquals(2, run("snapshot", "verify"));
  }

  @Test
  void snapshotsAreListedAndCheckedByName(@TempDir Path folder) throws Exception {
    assertEquals(1, run("snapshot", "list", folder.toString()), "none there");
    Path good = folder.resolve("1-1-1.snapshot");
    Files.write(good, new SnapshotFile(RecordsSnapshot.EMPTY, Instant.EPOCH).encode());
    Path other = Files.writeString(folder.resolve("2-1-1.snapshot"), "hello");
    assertEquals(0, run("snapshot", "verify", good.toString()));
    assertEquals(1, run("snapshot", "verify", other.toString()));
    assertEquals(1, run("snapshot", "verify", folder.resolve("none").toString()));
    assertTrue(complaints().contains("NOT_A_SNAPSHOT"));
    assertEquals(0, run("snapshot", "list", folder.toString()));
    String listed = printed();
    assertTrue(listed.contains("1-1-1.snapshot  taken 1970"), listed);
    assertTrue(listed.contains("2-1-1.snapshot  NOT_A_SNAPSHOT"), listed);
  }
}
