package io.cherryspool.controller.fleet;

import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The history of one machine that affects later placements: running tasks, container images, and
 * failures. Used on the event loop only.
 */
public final class PlacementHistory {
  /** The number of consecutive task failures after which a machine is not used again. */
  private static final int FAULTY_FAILURE_COUNT = 3;

  /**
   * How long a job is excluded from this machine, counted from the first failure of one of its
   * tasks here. This must be well below the time that a job may wait while a machine has room for
   * it. A later failure does not extend the exclusion, since a large job has occasional task
   * failures on every machine.
   */
  private static final Duration JOB_EXCLUSION_DURATION = Duration.ofSeconds(60);

  /** The maximum number of jobs that are remembered for having completed a task here. */
  private static final int MAX_SUCCEEDED_JOBS = 32;

  /** The maximum number of images that are assumed to be cached on the machine. */
  private static final int MAX_IMAGES = 16;

  private final Map<TaskId, Duration> runningSince = new HashMap<>();

  /** The images that the machine used last, the oldest first. */
  private final Set<String> images = new LinkedHashSet<>();

  /** The excluded jobs, each with the start of its exclusion. */
  private final Map<String, Duration> excludedJobs = new HashMap<>();

  /** The jobs that completed a task here without a failure since, the oldest first. */
  private final Set<String> succeededJobs = new LinkedHashSet<>();

  private int consecutiveFailures;

  /** Records which tasks the machine reports, and when each running task was first seen running. */
  void recordTasks(WorkerHeartbeat heartbeat, Duration now) {
    if (heartbeat.tasks().isEmpty()) {
      runningSince.clear();
      return;
    }
    // The start time of an exited task is kept too: its run time is needed when its end is
    // recorded.
    Set<TaskId> reportedTasks = new HashSet<>();
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      if (status.state() == WorkerHeartbeat.TaskState.RUNNING
          || status.state() == WorkerHeartbeat.TaskState.CHECKPOINTING) {
        runningSince.putIfAbsent(status.task(), now);
      }
      reportedTasks.add(status.task());
    }
    runningSince.keySet().retainAll(reportedTasks);
  }

  /**
   * Returns when the task was first seen running, to estimate how much work a stop would lose.
   * Empty if it was never seen running, or is no longer on the machine.
   */
  public Optional<Duration> runningSince(TaskId task) {
    return Optional.ofNullable(runningSince.get(task));
  }

  /** Records an image that the machine has cached or will fetch as the most recent one. */
  void recordImage(String image) {
    images.remove(image);
    images.add(image);
    if (images.size() > MAX_IMAGES) {
      images.remove(images.iterator().next());
    }
  }

  /** Returns a copy of the set of images that the machine used last. */
  public Set<String> images() {
    return Set.copyOf(images);
  }

  /**
   * Records that a task of the job failed or was refused here. The first failure after a success
   * does not exclude the job, since a job with many tasks has occasional failures on any machine.
   */
  public void recordJobFailure(String job, Duration now) {
    if (succeededJobs.remove(job)) {
      return;
    }
    excludedJobs.merge(
        job, now, (since, latest) -> isExclusionExpired(since, now) ? latest : since);
  }

  /** Removes the expired exclusions; returns whether there were any. */
  boolean removeExpiredExclusions(Duration now) {
    return !excludedJobs.isEmpty()
        && excludedJobs.values().removeIf(since -> isExclusionExpired(since, now));
  }

  private static boolean isExclusionExpired(Duration since, Duration now) {
    return now.minus(since).compareTo(JOB_EXCLUSION_DURATION) > 0;
  }

  /**
   * Returns a copy of the set of jobs that must not be placed here because their tasks failed here.
   */
  public Set<String> excludedJobs() {
    return Set.copyOf(excludedJobs.keySet());
  }

  /** Records a task failure that is attributed to the machine rather than to the job. */
  public void recordMachineFailure() {
    consecutiveFailures++;
  }

  /**
   * Records that a task of the job completed here, which resets the count of consecutive failures
   * and ends the exclusion of the job.
   */
  public void recordSuccess(String job) {
    consecutiveFailures = 0;
    excludedJobs.remove(job);
    succeededJobs.remove(job);
    succeededJobs.add(job);
    if (succeededJobs.size() > MAX_SUCCEEDED_JOBS) {
      succeededJobs.remove(succeededJobs.iterator().next());
    }
  }

  /** Whether enough consecutive tasks have failed here to consider the machine faulty. */
  public boolean isFaulty() {
    return consecutiveFailures >= FAULTY_FAILURE_COUNT;
  }
}
