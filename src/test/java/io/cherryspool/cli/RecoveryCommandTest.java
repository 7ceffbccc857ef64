package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the output of the recovery commands and their exit statuses. */
class RecoveryCommandTest extends CommandFixture {
  private volatile Request lastRequest;

  @Override
  Reply respond(Request request) {
    lastRequest = request;
    return switch (request.path()) {
      case "/recovery/status" -> json(200, "{\"phase\":\"serving\",\"losses\":1}");
      case "/recovery/resolve" -> json(409, "{\"error\":\"job req-000001 is not held\"}");
      default -> json(404, "{\"error\":\"no such thing\"}");
    };
  }

  @Test
  void printsTheStatusIndented() {
    assertEquals(0, run("recovery", "status", "--node", node));
    assertTrue(printedOutput().contains("\"phase\" : \"serving\""));
  }

  @Test
  void printsTheReasonOfARefusalAndExitsWithOne() {
    assertEquals(1, run("recovery", "resolve", "--node", node, "req-000001", "--repeat"));
    assertTrue(errorOutput().contains("job req-000001 is not held"));
    assertEquals(
        "{\"job\":\"req-000001\",\"decision\":\"repeat\"}",
        new String(lastRequest.body(), StandardCharsets.UTF_8));
  }

  @Test
  void reportsThatRecoveryIsOff() {
    assertEquals(1, run("recovery", "held", "--node", node));
    assertTrue(errorOutput().contains("recovery is off"));
  }

  @Test
  void reportsAnUnreachableNode() {
    assertEquals(1, run("recovery", "status", "--node", "127.0.0.1:1"));
    assertTrue(errorOutput().contains("can't be reached"));
  }

  @Test
  void exitsWithTwoOnAUsageError() {
    assertEquals(2, run("recovery"));
    assertEquals(2, run("recovery", "status"));
    assertEquals(2, run("recovery", "status", "--node", "not an address"));
    assertEquals(2, run("recovery", "resolve", "--node", node, "req-000001"));
    assertEquals(
        2, run("recovery", "resolve", "--node", node, "req-000001", "--repeat", "--abandon"));
  }
}
