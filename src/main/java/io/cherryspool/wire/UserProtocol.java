package io.cherryspool.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Jobs as users write them, and what users are told of them. */
public final class UserProtocol {
  private static final Pattern ID = Pattern.compile("req-[0-9]{6,18}");
  private static final int MAX_TASKS = 100_000;

  private UserProtocol() {}

  /** What a user may be told of a job. */
  public enum JobStatus {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn");

    private final String word;

    JobStatus(String word) {
      this.word = word;
    }
  }

  public static boolean isJobId(String text) {
    return ID.matcher(text).matches();
  }

  /** The job id that a submission names, whatever else is wrong with it; empty if it has none. */
  public static Optional<String> findJobId(JsonNode node) {
    String text = node.path("ref").asText();
    return isJobId(text) ? Optional.of(text) : Optional.empty();
  }

  public static Job parseJob(JsonNode node, Instant submitted) throws MalformedMessageException {
    String id = Json.text(node, "ref");
    if (!isJobId(id)) {
      throw new MalformedMessageException("ref is not of the form req-000412");
    }
    if (!"array".equals(Json.text(node, "shape"))) {
      throw new MalformedMessageException("shape must be array");
    }
    List<String> types = Json.absent(node, "builds") ? null : Json.texts(node, "builds");
    Duration deadline = Json.absent(node, "due_s") ? null : Json.seconds(node, "due_s");
    return new Job(
        id,
        Json.text(node, "lane"),
        Json.text(node, "owner"),
        priority(Json.text(node, "urgency")),
        (int) Json.integer(node, "pieces", 1, MAX_TASKS),
        new Resources(
            Json.amount(node, "vcpus"), Json.amount(node, "gpus"), Json.amount(node, "mem_gb")),
        Json.text(node, "bundle"),
        Json.amount(node, "size_gb"),
        types,
        Json.textOrNull(node, "yard"),
        Json.flag(node, "together"),
        Json.flag(node, "scatter"),
        Json.flag(node, "loaners"),
        Json.seconds(node, "expect_s"),
        Json.seconds(node, "bookmark_s"),
        Json.seconds(node, "stash_s"),
        deadline,
        submitted);
  }

  /** The job in the users' own form, which is also how it is kept. */
  public static ObjectNode encodeJob(Job job) {
    ObjectNode node = Json.object();
    node.put("ref", job.id());
    node.put("shape", "array");
    node.put("lane", job.jobClass());
    node.put("owner", job.team());
    node.put("urgency", word(job.priority()));
    node.put("pieces", job.taskCount());
    node.put("vcpus", job.perTask().cpus());
    node.put("gpus", job.perTask().gpus());
    node.put("mem_gb", job.perTask().memoryGb());
    node.put("bundle", job.image());
    node.put("size_gb", job.imageGb());
    if (job.allowedTypes() != null) {
      ArrayNode types = node.putArray("builds");
      job.allowedTypes().forEach(types::add);
    }
    if (job.requiredZone() != null) {
      node.put("yard", job.requiredZone());
    }
    node.put("together", job.requiresSingleZone());
    node.put("scatter", job.requiresZoneSpread());
    node.put("loaners", job.allowsSpot());
    node.put("expect_s", Json.toSeconds(job.estimatedRunTime()));
    node.put("bookmark_s", Json.toSeconds(job.checkpointInterval()));
    node.put("stash_s", Json.toSeconds(job.checkpointDuration()));
    if (job.deadline() != null) {
      node.put("due_s", Json.toSeconds(job.deadline()));
    }
    return node;
  }

  public static byte[] encodeStatus(String id, JobStatus status) {
    return Json.toBytes(Json.object().put("ref", id).put("status", status.word));
  }

  /** The answer to a poll; a job with tasks past the failure cap carries {@code failing}. */
  public static byte[] encodeStatus(
      String id, JobStatus status, int done, int running, int failing) {
    ObjectNode node = Json.object().put("ref", id).put("status", status.word);
    node.put("done", done).put("running", running);
    if (failing > 0) {
      node.put("failing", failing);
    }
    return Json.toBytes(node);
  }

  public static byte[] encodeError(String message) {
    return Json.toBytes(Json.object().put("error", message));
  }

  private static Priority priority(String word) throws MalformedMessageException {
    return switch (word) {
      case "production" -> Priority.PRODUCTION;
      case "urgent" -> Priority.HIGH;
      case "normal" -> Priority.NORMAL;
      case "best_effort" -> Priority.LOW;
      default -> throw new MalformedMessageException("urgency is unknown");
    };
  }

  private static String word(Priority priority) {
    return switch (priority) {
      case PRODUCTION -> "production";
      case HIGH -> "urgent";
      case NORMAL -> "normal";
      case LOW -> "best_effort";
    };
  }
}
