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
 * What has run on one machine, as far as it bears on what is placed there next: running tasks,
 * images, and failures. Used on the event loop only.
 */
public final class PlacementHistory {
  /** A machine on which so many tasks in a row failed is not used again. */
  private static final int FAULTY_AFTER_FAILURES = 3;

  /**
   * So long after the first of its failures here a job may be placed here again. It must be well
   * below the time that a job may wait beside a machine with room, and a later failure does not
   * make it longer: of a large job some task fails now and then on each machine.
   */
  private static final Duration JOB_EXCLUSION = Duration.ofSeconds(60);

  /** Jobs of which it is remembered that a task completed here. */
  private static final int MAX_SUCCEEDED_JOBS = 32;

  /** Images that are taken to be cached on the machine. */
  private static final int MAX_IMAGES = 16;

  private final Map<TaskId, Duration> runningSince = new HashMap<>();

  /** The oldest first. */
  private final Set<String> images = new LinkedHashSet<>();

  /** When the exclusion of each job began. */
  private final Map<String, Duration> excludedJobs = new HashMap<>();

  /** Jobs of which a task completed here and none has failed since, the oldest first. */
  private final Set<String> succeededJobs = new LinkedHashSet<>();

  private int failuresInARow;

  /** Records which tasks the machine has and when those that run were first seen running. */
  void recordTasks(WorkerHeartbeat heartbeat, Duration now) {
    if (heartbeat.tasks().isEmpty()) {
      runningSince.clear();
      return;
    }
    // Kept for an exited task too, so that its run time is known when its end is recorded.
    Set<TaskId> present = new HashSet<>();
    for (WorkerHeartbeat.TaskStatus item : heartbeat.tasks()) {
      if (item.state() == WorkerHeartbeat.TaskState.RUNNING
          || item.state() == WorkerHeartbeat.TaskState.CHECKPOINTING) {
        runningSince.putIfAbsent(item.task(), now);
      }
      present.add(item.task());
    }
    runningSince.keySet().retainAll(present);
  }

  /**
   * When the task was first seen running, for estimates of what stopping it loses; empty if it was
   * not, or is no longer on the machine.
   */
  public Optional<Duration> runningSince(TaskId task) {
    return Optional.ofNullable(runningSince.get(task));
  }

  /** Records an image that the machine has or will fetch, as the newest one. */
  void recordImage(String image) {
    images.remove(image);
    images.add(image);
    if (images.size() > MAX_IMAGES) {
      images.remove(images.iterator().next());
    }
  }

  /** The images that the machine last used, as a copy. */
  public Set<String> images() {
    return Set.copyOf(images);
  }

  /**
   * Records that a task of the job failed or was refused here. The first failure after a success
   * says nothing of the machine: of a job of many tasks one fails now and then anywhere.
   */
  public void recordJobFailure(String job, Duration now) {
    if (succeededJobs.remove(job)) {
      return;
    }
    excludedJobs.merge(job, now, (since, latest) -> isOver(since, now) ? latest : since);
  }

  /** Drops the jobs that may be placed here again; returns whether there were any. */
  boolean removeExpiredExclusions(Duration now) {
    return !excludedJobs.isEmpty() && excludedJobs.values().removeIf(since -> isOver(since, now));
  }

  private static boolean isOver(Duration since, Duration now) {
    return now.minus(since).compareTo(JOB_EXCLUSION) > 0;
  }

  /** The jobs that must not be placed here since tasks of theirs failed here, as a copy. */
  public Set<String> excludedJobs() {
    return Set.copyOf(excludedJobs.keySet());
  }

  /** Records a failure that the machine rather than the job is to blame for. */
  public void recordMachineFailure() {
    failuresInARow++;
  }

  /** Records that a task of the job completed here, which ends a row of failures. */
  public void recordSuccess(String job) {
    failuresInARow = 0;
    excludedJobs.remove(job);
    succeededJobs.remove(job);
    succeededJobs.add(job);
    if (succeededJobs.size() > MAX_SUCCEEDED_JOBS) {
      succeededJobs.remove(succeededJobs.iterator().next());
    }
  }

  /** Whether so many tasks in a row failed here that the machine is taken for a faulty one. */
  public boolean isFaulty() {
    return failuresInARow >= FAULTY_AFTER_FAILURES;
  }
}
