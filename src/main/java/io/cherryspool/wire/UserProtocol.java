package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Decodes the jobs that users submit, and encodes the responses to users. */
public final class UserProtocol {
  private static final Pattern JOB_ID = Pattern.compile("req-[0-9]{6,18}");
  private static final int MAX_TASKS = 100_000;

  /** The only kind of job in the protocol: independent tasks, each of which runs to completion. */
  private static final String ARRAY_JOB = "array";

  private UserProtocol() {}

  /** The status of a job in a response to its user. */
  public enum JobStatus {
    /** No task is running. */
    PENDING("pending"),
    /** At least one task is running. */
    RUNNING("running"),
    /** All tasks are done; final. */
    DONE("done"),
    /** Cancelled by its user; final. */
    CANCELLED("withdrawn");

    private final String protocolName;

    JobStatus(String protocolName) {
      this.protocolName = protocolName;
    }
  }

  /** Whether the text is a well-formed job id, such as {@code req-000412}. */
  public static boolean isJobId(String text) {
    return JOB_ID.matcher(text).matches();
  }

  /**
   * Returns the job id of a submission, even if other fields are missing or invalid; empty if the
   * submission has no well-formed id.
   */
  public static Optional<String> findJobId(JsonNode node) {
    String text = node.path(ProtocolFields.ID).asText();
    return isJobId(text) ? Optional.of(text) : Optional.empty();
  }

  /**
   * Decodes a job from a user's submission, or as stored by {@link #encodeJob}.
   *
   * @param submittedAt the job's submission time, which the encoded job does not contain
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static Job parseJob(JsonNode node, Instant submittedAt) throws MalformedMessageException {
    String id = Json.requiredText(node, ProtocolFields.ID);
    if (!isJobId(id)) {
      throw new MalformedMessageException("ref is not of the form req-000412");
    }
    if (!ARRAY_JOB.equals(Json.requiredText(node, ProtocolFields.JOB_KIND))) {
      throw new MalformedMessageException("shape must be array");
    }
    List<String> allowedTypes =
        Json.isAbsent(node, ProtocolFields.MACHINE_TYPES)
            ? null
            : Json.requiredTexts(node, ProtocolFields.MACHINE_TYPES);
    Duration deadline =
        Json.isAbsent(node, ProtocolFields.DEADLINE)
            ? null
            : Json.requiredSeconds(node, ProtocolFields.DEADLINE);
    return new Job(
        id,
        Json.requiredText(node, ProtocolFields.JOB_CLASS),
        Json.requiredText(node, ProtocolFields.TEAM),
        parsePriority(Json.requiredText(node, ProtocolFields.PRIORITY)),
        (int) Json.requiredInteger(node, ProtocolFields.TASK_COUNT, 1, MAX_TASKS),
        Json.requiredResources(node),
        Json.requiredText(node, ProtocolFields.IMAGE),
        Json.requiredAmount(node, ProtocolFields.IMAGE_GB),
        allowedTypes,
        Json.textOrNull(node, ProtocolFields.ZONE),
        Json.requiredBoolean(node, ProtocolFields.REQUIRES_SINGLE_ZONE),
        Json.requiredBoolean(node, ProtocolFields.REQUIRES_ZONE_SPREAD),
        Json.requiredBoolean(node, ProtocolFields.SPOT),
        Json.requiredSeconds(node, ProtocolFields.ESTIMATED_RUN_TIME),
        Json.requiredSeconds(node, ProtocolFields.CHECKPOINT_INTERVAL),
        Json.requiredSeconds(node, ProtocolFields.CHECKPOINT_DURATION),
        deadline,
        submittedAt);
  }

  /**
   * Encodes the job in the format of submissions, which is also its format in the state store. The
   * submission time is omitted.
   */
  public static ObjectNode encodeJob(Job job) {
    ObjectNode node = Json.object();
    node.put(ProtocolFields.ID, job.id());
    node.put(ProtocolFields.JOB_KIND, ARRAY_JOB);
    node.put(ProtocolFields.JOB_CLASS, job.jobClass());
    node.put(ProtocolFields.TEAM, job.team());
    node.put(ProtocolFields.PRIORITY, encodePriority(job.priority()));
    node.put(ProtocolFields.TASK_COUNT, job.taskCount());
    Json.putResources(node, job.perTask());
    node.put(ProtocolFields.IMAGE, job.image());
    node.put(ProtocolFields.IMAGE_GB, job.imageGb());
    if (job.allowedTypes() != null) {
      ArrayNode types = node.putArray(ProtocolFields.MACHINE_TYPES);
      job.allowedTypes().forEach(types::add);
    }
    if (job.requiredZone() != null) {
      node.put(ProtocolFields.ZONE, job.requiredZone());
    }
    node.put(ProtocolFields.REQUIRES_SINGLE_ZONE, job.requiresSingleZone());
    node.put(ProtocolFields.REQUIRES_ZONE_SPREAD, job.requiresZoneSpread());
    node.put(ProtocolFields.SPOT, job.allowsSpot());
    node.put(ProtocolFields.ESTIMATED_RUN_TIME, Json.toSeconds(job.estimatedRunTime()));
    node.put(ProtocolFields.CHECKPOINT_INTERVAL, Json.toSeconds(job.checkpointInterval()));
    node.put(ProtocolFields.CHECKPOINT_DURATION, Json.toSeconds(job.checkpointDuration()));
    if (job.deadline() != null) {
      node.put(ProtocolFields.DEADLINE, Json.toSeconds(job.deadline()));
    }
    return node;
  }

  /** Encodes the body of the response to a submission or a cancellation. */
  public static byte[] encodeStatus(String id, JobStatus status) {
    return Json.toBytes(statusOf(id, status));
  }

  /**
   * Encodes the body of the response to a query.
   *
   * @param done the number of tasks that are done
   * @param running the number of tasks that are running
   * @param failing the number of tasks that have reached the failure cap; the field is omitted if
   *     it is 0
   */
  public static byte[] encodeStatus(
      String id, JobStatus status, int done, int running, int failing) {
    ObjectNode node = statusOf(id, status);
    node.put(ProtocolFields.DONE_TASKS, done).put(ProtocolFields.RUNNING_TASKS, running);
    if (failing > 0) {
      node.put(ProtocolFields.FAILING_TASKS, failing);
    }
    return Json.toBytes(node);
  }

  private static ObjectNode statusOf(String id, JobStatus status) {
    return Json.object().put(ProtocolFields.ID, id).put(ProtocolFields.STATUS, status.protocolName);
  }

  /** Encodes the body of a response that rejects a request with the given reason. */
  public static byte[] encodeError(String message) {
    return Json.toBytes(Json.object().put(ProtocolFields.ERROR, message));
  }

  private static Priority parsePriority(String name) throws MalformedMessageException {
    return switch (name) {
      case "production" -> Priority.PRODUCTION;
      case "urgent" -> Priority.HIGH;
      case "normal" -> Priority.NORMAL;
      case "best_effort" -> Priority.LOW;
      default -> throw new MalformedMessageException("urgency is unknown");
    };
  }

  private static String encodePriority(Priority priority) {
    return switch (priority) {
      case PRODUCTION -> "production";
      case HIGH -> "urgent";
      case NORMAL -> "normal";
      case LOW -> "best_effort";
    };
  }
}
