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

/** Decodes the heartbeats of workers, and encodes responses and commands to workers. */
public final class WorkerProtocol {
  private WorkerProtocol() {}

  /**
   * Decodes a heartbeat. A worker's response to a direct call has the same format.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static WorkerHeartbeat parseHeartbeat(JsonNode node) throws MalformedMessageException {
    JsonNode items = node.path(ProtocolFields.TASKS);
    if (!items.isArray() && !Json.isAbsent(node, ProtocolFields.TASKS)) {
      throw new MalformedMessageException("pieces must be a list");
    }
    List<WorkerHeartbeat.TaskStatus> tasks = new ArrayList<>();
    for (JsonNode item : items) {
      tasks.add(parseTask(item));
    }
    Duration preemptionNotice =
        Json.isAbsent(node, ProtocolFields.PREEMPTION_NOTICE)
            ? null
            : Json.requiredSeconds(node, ProtocolFields.PREEMPTION_NOTICE);
    return new WorkerHeartbeat(
        Json.requiredText(node, ProtocolFields.MACHINE),
        Json.requiredText(node, ProtocolFields.ADDRESS),
        Json.requiredText(node, ProtocolFields.MACHINE_TYPE),
        Json.requiredText(node, ProtocolFields.ZONE),
        Json.requiredBoolean(node, ProtocolFields.SPOT),
        Json.requiredInteger(node, ProtocolFields.AGENT_EPOCH, 0, Long.MAX_VALUE),
        Json.requiredInteger(node, ProtocolFields.SEQUENCE, 0, Long.MAX_VALUE),
        Json.requiredInteger(node, ProtocolFields.FENCING_TOKEN, 0, Long.MAX_VALUE),
        preemptionNotice,
        List.copyOf(tasks));
  }

  private static WorkerHeartbeat.TaskStatus parseTask(JsonNode node)
      throws MalformedMessageException {
    TaskId id = parseTaskId(Json.requiredText(node, ProtocolFields.TASK));
    int attempt = (int) Json.requiredInteger(node, ProtocolFields.ATTEMPT, 0, Integer.MAX_VALUE);
    WorkerHeartbeat.TaskState state = parseState(Json.requiredText(node, ProtocolFields.STATUS));
    WorkerHeartbeat.ExitCause cause =
        state == WorkerHeartbeat.TaskState.EXITED
            ? parseCause(Json.textOrNull(node, ProtocolFields.EXIT_CAUSE))
            : null;
    return new WorkerHeartbeat.TaskStatus(id, attempt, state, cause);
  }

  private static TaskId parseTaskId(String text) throws MalformedMessageException {
    try {
      return TaskId.parse(text);
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("piece is not of the form req-000412/3");
    }
  }

  /**
   * Encodes the body of the 200 response to a heartbeat. The response renews the worker's lease and
   * contains commands, which the worker executes in order.
   *
   * @param fencingToken the leader's token; the worker ignores the response if it has seen a higher
   *     token
   */
  public static byte[] encodeHeartbeatReply(long fencingToken, List<WorkerCommand> commands) {
    ObjectNode node = Json.object().put(ProtocolFields.FENCING_TOKEN, fencingToken);
    node.set(ProtocolFields.COMMANDS, encodeCommandList(commands));
    return Json.toBytes(node);
  }

  /**
   * Encodes the body of a direct call with commands, which does not renew the worker's lease.
   *
   * @param agentEpoch the agent epoch that the commands are meant for; the worker refuses them in
   *     any other epoch
   */
  public static byte[] encodeCommands(
      long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
    ObjectNode node = Json.object();
    node.put(ProtocolFields.FENCING_TOKEN, fencingToken);
    node.put(ProtocolFields.AGENT_EPOCH, agentEpoch);
    node.set(ProtocolFields.COMMANDS, encodeCommandList(commands));
    return Json.toBytes(node);
  }

  /**
   * Encodes the body of the 421 response that redirects a worker to the leader.
   *
   * @param leader the node to send heartbeats to; null if the leader is not known
   */
  public static byte[] encodeRedirect(String leader) {
    ObjectNode node = Json.object();
    if (leader != null) {
      node.put(ProtocolFields.LEADER, leader);
    }
    return Json.toBytes(node);
  }

  private static ArrayNode encodeCommandList(List<WorkerCommand> commands) {
    ArrayNode list = Json.array();
    for (WorkerCommand command : commands) {
      ObjectNode node = list.addObject();
      node.put(ProtocolFields.ACTION, encodeAction(command.action()));
      node.put(ProtocolFields.TASK, command.task().toString());
      node.put(ProtocolFields.ATTEMPT, command.attempt());
      if (command.action() == WorkerCommand.Action.STOP) {
        node.put(ProtocolFields.GRACE_PERIOD, Json.toSeconds(command.gracePeriod()));
      }
    }
    return list;
  }

  private static String encodeAction(WorkerCommand.Action action) {
    return switch (action) {
      case START -> "launch";
      case STOP -> "halt";
      case ACKNOWLEDGE -> "forget";
    };
  }

  private static WorkerHeartbeat.TaskState parseState(String name)
      throws MalformedMessageException {
    return switch (name) {
      case "pulling" -> WorkerHeartbeat.TaskState.FETCHING;
      case "running" -> WorkerHeartbeat.TaskState.RUNNING;
      case "saving" -> WorkerHeartbeat.TaskState.CHECKPOINTING;
      case "ended" -> WorkerHeartbeat.TaskState.EXITED;
      default -> throw new MalformedMessageException("status is unknown: " + name);
    };
  }

  /** Parses an exit cause; a missing or unknown one counts as an error, never as done. */
  private static WorkerHeartbeat.ExitCause parseCause(String name) {
    if (name == null) {
      return WorkerHeartbeat.ExitCause.ERROR;
    }
    return switch (name) {
      case "done" -> WorkerHeartbeat.ExitCause.DONE;
      case "stopped" -> WorkerHeartbeat.ExitCause.STOPPED;
      case "no_room" -> WorkerHeartbeat.ExitCause.INSUFFICIENT_RESOURCES;
      case "busy" -> WorkerHeartbeat.ExitCause.OTHER_ATTEMPT_PRESENT;
      case "no_such" -> WorkerHeartbeat.ExitCause.UNKNOWN_JOB;
      default -> WorkerHeartbeat.ExitCause.ERROR;
    };
  }
}
