package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Order;
import io.cherryspool.model.Report;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Workers' reports, and the answers and commands to them. */
public final class WorkerWire {
  private WorkerWire() {}

  public static Report parseReport(JsonNode node) throws WireException {
    List<Report.TaskReport> tasks = new ArrayList<>();
    JsonNode pieces = node.path("pieces");
    if (!pieces.isArray() && !Json.absent(node, "pieces")) {
      throw new WireException("pieces must be a list");
    }
    for (JsonNode piece : pieces) {
      TaskId id = TaskId.parse(Json.text(piece, "piece"));
      if (id == null) {
        throw new WireException("piece is not of the form req-000412/3");
      }
      int attempt = (int) Json.integer(piece, "try", 0, Integer.MAX_VALUE);
      Report.State state = state(Json.text(piece, "status"));
      Report.Cause cause =
          state == Report.State.EXITED ? cause(Json.textOrNull(piece, "cause")) : null;
      tasks.add(new Report.TaskReport(id, attempt, state, cause));
    }
    Duration notice = Json.absent(node, "warning_s") ? null : Json.seconds(node, "warning_s");
    return new Report(
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

  public static byte[] reply(long token, List<Order> orders) {
    ObjectNode node = Json.object().put("baton", token);
    node.set("orders", orders(orders));
    return Json.bytes(node);
  }

  public static byte[] commands(long token, long session, List<Order> orders) {
    ObjectNode node = Json.object().put("baton", token).put("shift", session);
    node.set("orders", orders(orders));
    return Json.bytes(node);
  }

  /** The body that sends a worker to another node; a null leader names none. */
  public static byte[] redirect(String leader) {
    ObjectNode node = Json.object();
    if (leader != null) {
      node.put("foreman", leader);
    }
    return Json.bytes(node);
  }

  private static ArrayNode orders(List<Order> orders) {
    ArrayNode list = Json.array();
    for (Order order : orders) {
      ObjectNode node = list.addObject();
      node.put("verb", verb(order.verb()));
      node.put("piece", order.task().toString());
      node.put("try", order.attempt());
      if (order.verb() == Order.Verb.STOP) {
        node.put("leeway_s", Json.toSeconds(order.grace()));
      }
    }
    return list;
  }

  private static String verb(Order.Verb verb) {
    return switch (verb) {
      case START -> "launch";
      case STOP -> "halt";
      case FORGET -> "forget";
    };
  }

  private static Report.State state(String word) throws WireException {
    return switch (word) {
      case "pulling" -> Report.State.FETCHING;
      case "running" -> Report.State.RUNNING;
      case "saving" -> Report.State.SAVING;
      case "ended" -> Report.State.EXITED;
      default -> throw new WireException("status is unknown: " + word);
    };
  }

  /** An exit of a kind not documented yet is counted as an error, never as done. */
  private static Report.Cause cause(String word) {
    if (word == null) {
      return Report.Cause.ERROR;
    }
    return switch (word) {
      case "done" -> Report.Cause.DONE;
      case "stopped" -> Report.Cause.STOPPED;
      case "no_room" -> Report.Cause.NO_ROOM;
      case "busy" -> Report.Cause.BUSY;
      case "no_such" -> Report.Cause.UNKNOWN_JOB;
      default -> Report.Cause.ERROR;
    };
  }
}
