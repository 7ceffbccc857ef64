package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Workers' reports, and the answers and commands to them. */
public final class WorkerProtocol {
  private WorkerProtocol() {}

  public static WorkerHeartbeat parseHeartbeat(JsonNode node) throws MalformedMessageException {
    List<WorkerHeartbeat.TaskStatus> tasks = new ArrayList<>();
    JsonNode pieces = node.path("pieces");
    if (!pieces.isArray() && !Json.absent(node, "pieces")) {
      throw new MalformedMessageException("pieces must be a list");
    }
    for (JsonNode piece : pieces) {
      TaskId id = parseTaskId(Json.text(piece, "piece"));
      int attempt = (int) Json.integer(piece, "try", 0, Integer.MAX_VALUE);
      WorkerHeartbeat.TaskState state = state(Json.text(piece, "status"));
      WorkerHeartbeat.ExitCause cause =
          state == WorkerHeartbeat.TaskState.EXITED ? cause(Json.textOrNull(piece, "cause")) : null;
      tasks.add(new WorkerHeartbeat.TaskStatus(id, attempt, state, cause));
    }
    Duration notice = Json.absent(node, "warning_s") ? null : Json.seconds(node, "warning_s");
    return new WorkerHeartbeat(
        Json.text(node, "spindle"),
        Json.text(node, "endpoint"),
        Json.text(node, "build"),
        Json.text(node, "yard"),
        Json.flag(node, "loaners"),
        Json.integer(node, "shift", 0, Long.MAX_VALUE),
        Json.integer(node, "tick", 0, Long.MAX_VALUE),
        Json.integer(node, "baton", 0, Long.MAX_VALUE),
        notice,
        List.copyOf(tasks));
  }

  private static TaskId parseTaskId(String text) throws MalformedMessageException {
    try {
      return TaskId.parse(text);
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("piece is not of the form req-000412/3");
    }
  }

  public static byte[] encodeHeartbeatReply(long token, List<WorkerCommand> orders) {
    ObjectNode node = Json.object().put("baton", token);
    node.set("orders", orders(orders));
    return Json.toBytes(node);
  }

  public static byte[] encodeCommands(long token, long session, List<WorkerCommand> orders) {
    ObjectNode node = Json.object().put("baton", token).put("shift", session);
    node.set("orders", orders(orders));
    return Json.toBytes(node);
  }

  /** The body that sends a worker to another node; a null leader names none. */
  public static byte[] encodeRedirect(String leader) {
    ObjectNode node = Json.object();
    if (leader != null) {
      node.put("foreman", leader);
    }
    return Json.toBytes(node);
  }

  private static ArrayNode orders(List<WorkerCommand> orders) {
    ArrayNode list = Json.array();
    for (WorkerCommand order : orders) {
      ObjectNode node = list.addObject();
      node.put("verb", verb(order.action()));
      node.put("piece", order.task().toString());
      node.put("try", order.attempt());
      if (order.action() == WorkerCommand.Action.STOP) {
        node.put("leeway_s", Json.toSeconds(order.gracePeriod()));
      }
    }
    return list;
  }

  private static String verb(WorkerCommand.Action verb) {
    return switch (verb) {
      case START -> "launch";
      case STOP -> "halt";
      case ACKNOWLEDGE -> "forget";
    };
  }

  private static WorkerHeartbeat.TaskState state(String word) throws MalformedMessageException {
    return switch (word) {
      case "pulling" -> WorkerHeartbeat.TaskState.FETCHING;
      case "running" -> WorkerHeartbeat.TaskState.RUNNING;
      case "saving" -> WorkerHeartbeat.TaskState.CHECKPOINTING;
      case "ended" -> WorkerHeartbeat.TaskState.EXITED;
      default -> throw new MalformedMessageException("status is unknown: " + word);
    };
  }

  /** An exit of a kind not documented yet is counted as an error, never as done. */
  private static WorkerHeartbeat.ExitCause cause(String word) {
    if (word == null) {
      return WorkerHeartbeat.ExitCause.ERROR;
    }
    return switch (word) {
      case "done" -> WorkerHeartbeat.ExitCause.DONE;
      case "stopped" -> WorkerHeartbeat.ExitCause.STOPPED;
      case "no_room" -> WorkerHeartbeat.ExitCause.INSUFFICIENT_RESOURCES;
      case "busy" -> WorkerHeartbeat.ExitCause.OTHER_ATTEMPT_PRESENT;
      case "no_such" -> WorkerHeartbeat.ExitCause.UNKNOWN_JOB;
      default -> WorkerHeartbeat.ExitCause.ERROR;
    };
  }
}
