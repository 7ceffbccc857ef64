package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import io.cherryspool.sim.fakes.TaskAttempt.ExitCause;
import io.cherryspool.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The task attempts on a {@link FakeWorker}. An attempt fetches the image unless the machine has
 * it, runs for half of the estimated run time plus up to 4 s, and exits. An attempt that fails
 * exits after a third of that time.
 */
final class WorkerTasks {
  private static final Duration IMAGE_FETCH = Duration.ofSeconds(2);
  private static final int RUN_SPREAD_MS = 4000;

  private final FakeWorker worker;
  private final RandomGenerator random;
  private final Workload workload;
  private final double failureProbability;
  private final Map<String, TaskAttempt> attempts = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private boolean failsAllTasks;

  /**
   * Creates the worker tasks.
   *
   * @param failureProbability the probability with which a task fails at random, independently of
   *     its job and its machine
   */
  WorkerTasks(
      FakeWorker worker, RandomGenerator random, Workload workload, double failureProbability) {
    this.worker = worker;
    this.random = random;
    this.workload = workload;
    this.failureProbability = failureProbability;
  }

  /** Returns the tasks that are running or saving a checkpoint. */
  List<String> running() {
    return tasks(attempt -> attempt.isRunning() || attempt.isCheckpointing());
  }

  /** Returns the tasks that have not exited. */
  List<String> assigned() {
    return tasks(attempt -> !attempt.hasExited());
  }

  private List<String> tasks(Predicate<TaskAttempt> condition) {
    List<String> result = new ArrayList<>();
    for (TaskAttempt attempt : attempts.values()) {
      if (condition.test(attempt)) {
        result.add(attempt.task());
      }
    }
    return result;
  }

  /** Kills all tasks. The machine keeps the images. */
  void killAll() {
    attempts.clear();
  }

  /** Sets whether every task that starts from now on fails. */
  void setFailsAllTasks(boolean value) {
    failsAllTasks = value;
  }

  void pretendCheckpointing(boolean value) {
    attempts.values().forEach(attempt -> attempt.pretendCheckpointing(value));
  }

  /** Completes one of the running tasks now. */
  void completeOne() {
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.isRunning()) {
        finish(attempt, false);
        return;
      }
    }
  }

  ArrayNode encode() {
    ArrayNode list = Json.array();
    attempts.values().forEach(attempt -> list.add(attempt.encode()));
    return list;
  }

  /** Executes the commands of a heartbeat's reply or of a direct request. */
  void execute(JsonNode commands) {
    for (JsonNode command : commands) {
      String task = command.path("piece").asText();
      int number = command.path("try").intValue();
      TaskAttempt attempt = attempts.get(TaskAttempt.key(task, number));
      switch (command.path("verb").asText()) {
        case "launch" -> {
          if (attempt == null) {
            start(new TaskAttempt(task, number));
          }
        }
        case "halt" -> {
          if (attempt != null) {
            stop(attempt, command.path("leeway_s").doubleValue());
          }
        }
        default -> {
          if (attempt != null && attempt.hasExited()) {
            attempts.remove(attempt.key());
          }
        }
      }
    }
  }

  private void start(TaskAttempt attempt) {
    boolean isDuplicate = assigned().contains(attempt.task());
    attempts.put(attempt.key(), attempt);
    Optional<Job> job = job(attempt);
    if (job.isEmpty()) {
      exit(attempt, ExitCause.UNKNOWN_JOB);
    } else if (isDuplicate) {
      exit(attempt, ExitCause.DUPLICATE);
    } else {
      Duration fetch = images.contains(job.get().image()) ? Duration.ZERO : IMAGE_FETCH;
      worker.schedule(fetch, () -> run(attempt, job.get()));
    }
    worker.markChanged();
  }

  private Optional<Job> job(TaskAttempt attempt) {
    return workload.job(TaskId.parse(attempt.task()).jobId());
  }

  private boolean isPresent(TaskAttempt attempt) {
    return attempts.get(attempt.key()) == attempt;
  }

  private void run(TaskAttempt attempt, Job job) {
    if (!isPresent(attempt) || attempt.hasExited()) {
      return;
    }
    images.add(job.image());
    attempt.run();
    worker.markChanged();
    workload.onTaskStarted(worker, attempt.task());
    Duration runTime =
        job.estimatedRunTime().dividedBy(2).plusMillis(random.nextLong(RUN_SPREAD_MS));
    boolean shouldFail =
        failsAllTasks
            || job.jobClass().equals(FakeWorker.FAILING_JOB_CLASS)
            || random.nextDouble() < failureProbability;
    worker.schedule(shouldFail ? runTime.dividedBy(3) : runTime, () -> finish(attempt, shouldFail));
  }

  private void finish(TaskAttempt attempt, boolean shouldFail) {
    if (isPresent(attempt) && attempt.isRunning()) {
      exit(attempt, shouldFail ? ExitCause.ERROR : ExitCause.DONE);
      if (!shouldFail) {
        workload.onTaskCompleted(attempt.task());
      }
    }
  }

  private void stop(TaskAttempt attempt, double graceSeconds) {
    if (attempt.hasExited()) {
      return;
    }
    Optional<Job> job = job(attempt).filter(found -> !found.checkpointInterval().isZero());
    boolean mayCheckpoint =
        attempt.isRunning()
            && job.isPresent()
            && graceSeconds >= job.get().checkpointDuration().toMillis() / 1e3;
    if (mayCheckpoint) {
      attempt.checkpoint();
      worker.markChanged();
      worker.schedule(job.get().checkpointDuration(), () -> finishCheckpoint(attempt));
    } else if (!attempt.isCheckpointing() || graceSeconds == 0) {
      exit(attempt, ExitCause.STOPPED);
    }
  }

  private void finishCheckpoint(TaskAttempt attempt) {
    if (!attempt.hasExited()) {
      attempt.exitWithCheckpoint();
      worker.markChanged();
    }
  }

  private void exit(TaskAttempt attempt, ExitCause cause) {
    attempt.exit(cause);
    worker.markChanged();
  }
}
