package io.cherryspool.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.model.WorkerHeartbeat.ExitCause;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the error of an invalid heartbeat names the field, and that missing optional fields
 * get their defaults.
 */
class WorkerProtocolTest {
  private static ObjectNode parse(String json) throws MalformedMessageException {
    return (ObjectNode) Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
  }

  private static ObjectNode heartbeat(String task) throws MalformedMessageException {
    return parse(
        "{\"spindle\":\"host-000231\",\"endpoint\":\"10.1.0.232:9000\",\"build\":\"g8\","
            + "\"yard\":\"a\",\"loaners\":true,\"shift\":1,\"tick\":88,\"baton\":41,"
            + "\"warning_s\":null,\"pieces\":["
            + task
            + "]}");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "spindle|null",
        "endpoint|\"\"",
        "build|7",
        "yard|null",
        "loaners|1",
        "shift|-1",
        "shift|null",
        "tick|1.5",
        "baton|\"41\"",
        "baton|9223372036854775808",
        "warning_s|-3",
        "pieces|{}"
      })
  void errorNamesAnInvalidField(String field, String value) throws MalformedMessageException {
    ObjectNode node = heartbeat("");
    node.set(field, parse("{\"v\":" + value + "}").get("v"));
    assertErrorNamesField(field, node);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "piece|\"req-000412\"",
        "piece|\"req-000412/\"",
        "piece|\"req-000412/x\"",
        "piece|\"req-000412/-1\"",
        "piece|\"req-000412/2147483648\"",
        "piece|\"/3\"",
        "piece|3",
        "try|-1",
        "try|2147483648",
        "status|\"lost\"",
        "status|null",
        "cause|7"
      })
  void errorNamesAnInvalidFieldOfATask(String field, String value)
      throws MalformedMessageException {
    ObjectNode task =
        parse("{\"piece\":\"req-000412/3\",\"try\":2,\"status\":\"ended\",\"cause\":\"done\"}");
    task.set(field, parse("{\"v\":" + value + "}").get("v"));
    assertErrorNamesField(field, heartbeat(task.toString()));
  }

  private static void assertErrorNamesField(String field, ObjectNode node) {
    MalformedMessageException failure =
        assertThrows(MalformedMessageException.class, () -> WorkerProtocol.parseHeartbeat(node));
    assertTrue(failure.getMessage().contains(field), failure.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "none",
      value = {"none", ",\"cause\":null", ",\"cause\":\"new_cause\"", ",\"cause\":\"error\""})
  void treatsAMissingOrUnknownExitCauseAsAnError(String cause) throws MalformedMessageException {
    String task =
        "{\"piece\":\"req-000412/3\",\"try\":2,\"status\":\"ended\""
            + (cause == null ? "" : cause)
            + "}";
    WorkerHeartbeat heartbeat = WorkerProtocol.parseHeartbeat(heartbeat(task));
    assertEquals(ExitCause.ERROR, heartbeat.tasks().get(0).cause());
  }

  @Test
  void acceptsAHeartbeatWithoutATaskList() throws MalformedMessageException {
    ObjectNode node = heartbeat("");
    node.remove("pieces");
    assertEquals(List.of(), WorkerProtocol.parseHeartbeat(node).tasks());
  }
}
