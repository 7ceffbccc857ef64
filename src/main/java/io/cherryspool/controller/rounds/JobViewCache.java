package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.Shard;
import io.cherryspool.model.TaskId;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the jobs' views, from which rounds are planned. A job's view is valid until the job
 * changes or until further tasks of it may be tried, so that the cost of preparing a round depends
 * only on the changes since the last one.
 *
 * <p>Used on the event loop only.
 */
final class JobViewCache {
  /**
   * Maximum number of pending tasks of one job in a round, which limits the duration of the round.
   */
  private static final int MAX_PENDING_TASKS_PER_JOB = 512;

  /** Maximum wait after a failure, for tasks below the failure cap. */
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

  /**
   * Time after which a task at its failure cap is tried once more. Some failures are caused by lost
   * or faulty machines rather than by the job, and without further attempts its user would wait
   * forever.
   */
  private static final Duration WAIT_AT_FAILURE_CAP = Duration.ofSeconds(90);

  private final ClusterRecords records;
  private final Fleet fleet;
  private final TaskTracking tasks;
  private final int failureCap;
  private final Map<String, CachedView> views = new HashMap<>();

  /**
   * The end times of the last attempts, for tasks whose last attempt ended in this term without
   * success.
   */
  private final Map<TaskId, Duration> lastEndTimes = new HashMap<>();

  /**
   * A cached view of a job.
   *
   * @param validUntil the time from which more tasks may be tried, null if the view does not expire
   */
  private record CachedView(ClusterView.JobView view, Duration validUntil) {
    boolean isValidAt(Duration now) {
      return validUntil == null || now.compareTo(validUntil) < 0;
    }
  }

  /**
   * Creates an empty cache.
   *
   * @param failureCap the number of failures of a task from which it is retried only after long
   *     waits
   */
  JobViewCache(ClusterRecords records, Fleet fleet, TaskTracking tasks, int failureCap) {
    this.records = records;
    this.fleet = fleet;
    this.tasks = tasks;
    this.failureCap = failureCap;
  }

  /** Discards the job's view after its records have changed. */
  void onJobChanged(JobRecord job) {
    String id = job.job().id();
    views.remove(id);
    if (job.outcome() != null && !lastEndTimes.isEmpty()) {
      lastEndTimes.keySet().removeIf(task -> task.jobId().equals(id));
    }
  }

  /** Discards all views, after all records were reloaded. */
  void invalidateAll() {
    views.clear();
  }

  /** Records that an attempt of the task has ended, or that its machine was lost. */
  void onAttemptEnded(TaskId task, boolean isDone, Duration now) {
    if (isDone) {
      lastEndTimes.remove(task);
    } else {
      lastEndTimes.put(task, now);
    }
    views.remove(task.jobId());
  }

  /** Returns the jobs with tasks that may be placed. */
  List<ClusterView.JobView> schedulableJobs(Duration now) {
    List<ClusterView.JobView> result = new ArrayList<>();
    for (JobRecord job : records.activeJobs()) {
      if (job.outcome() != null || tasks.adoption().isPlacementBlocked(job)) {
        continue;
      }
      String id = job.job().id();
      CachedView cached = views.get(id);
      if (cached == null || !cached.isValidAt(now)) {
        cached = buildView(job, now);
        views.put(id, cached);
      }
      if (!cached.view.pendingTasks().isEmpty()) {
        result.add(cached.view);
      }
    }
    return result;
  }

  /** Whether any task of the job was ever completed. */
  boolean hasSucceeded(JobRecord job) {
    return job.doneCount() > 0
        || PendingReleases.countDone(tasks.pendingReleases().releasesOf(job.job().id()).values())
            > 0;
  }

  private CachedView buildView(JobRecord record, Duration now) {
    Job job = record.job();
    Map<Integer, PendingReleases.Release> releases = tasks.pendingReleases().releasesOf(job.id());
    PendingTaskScan scan = new PendingTaskScan(record, releases, now);
    scan.run();
    List<ClusterView.PendingTask> pending = scan.pending;
    if (!hasSucceeded(record) && tasks.backoff().isCrashLooping(record)) {
      Duration nextTryAt = tasks.backoff().nextRetryAt(record, now);
      if (now.compareTo(nextTryAt) < 0) {
        pending = List.of();
        scan.waitUntil(nextTryAt);
      } else {
        int running = record.ownedCount() - releases.size();
        pending = selectRetries(pending, CrashLoopBackoff.MAX_CONCURRENT_RETRIES - running);
      }
    }
    Optional<Map<String, Integer>> taskCountsByZone =
        job.requiresSingleZone() || job.requiresZoneSpread()
            ? ownedTaskCountsByZone(record, releases)
            : Optional.of(Map.of());
    if (taskCountsByZone.isEmpty()) {
      // A task of the job runs in an unknown zone, so that no zone is certain to satisfy the job's
      // constraint.
      return new CachedView(
          new ClusterView.JobView(
              job, List.of(), Map.of(), scan.failureCappedCount, scan.hasStarted),
          now);
    }
    return new CachedView(
        new ClusterView.JobView(
            job, pending, taskCountsByZone.get(), scan.failureCappedCount, scan.hasStarted),
        scan.validUntil);
  }

  /**
   * Selects the tasks of a crash-looping job to retry: the one with the fewest failures and the
   * first one, since either of them may be the only one that fails.
   */
  private static List<ClusterView.PendingTask> selectRetries(
      List<ClusterView.PendingTask> pending, int maxTries) {
    if (maxTries <= 0 || pending.isEmpty()) {
      return List.of();
    }
    ClusterView.PendingTask first = pending.get(0);
    ClusterView.PendingTask leastFailed = first;
    for (ClusterView.PendingTask task : pending) {
      leastFailed = task.failures() < leastFailed.failures() ? task : leastFailed;
    }
    return maxTries == 1 || leastFailed == first
        ? List.of(leastFailed)
        : List.of(leastFailed, first);
  }

  /**
   * Returns the number of owned tasks by zone; empty if one of them is on a machine whose zone is
   * not known.
   */
  private Optional<Map<String, Integer>> ownedTaskCountsByZone(
      JobRecord job, Map<Integer, PendingReleases.Release> releases) {
    Map<String, Integer> result = new HashMap<>();
    for (JobRecord.VersionedShard item : job.shards().values()) {
      for (Attempt attempt : item.shard().ownedAttempts().values()) {
        if (!releases.containsKey(attempt.taskIndex())) {
          MachineState machine = fleet.get(attempt.machine());
          if (machine == null || machine.zone().isEmpty()) {
            return Optional.empty();
          }
          result.merge(machine.zone(), 1, Integer::sum);
        }
      }
    }
    return Optional.of(result);
  }

  /**
   * Returns how long a task waits after its last failure, so that a task which always fails
   * immediately is not placed in every round.
   */
  private static Duration backoff(int failures) {
    if (failures < 2) {
      return Duration.ZERO;
    }
    Duration wait = Duration.ofMillis(500L << Math.min(failures, 10));
    return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
  }

  /** Scans a job for tasks that may be placed now. */
  private final class PendingTaskScan {
    private final JobRecord job;
    private final Map<Integer, PendingReleases.Release> releases;
    private final Duration now;
    private final List<ClusterView.PendingTask> pending = new ArrayList<>();
    private int failureCappedCount;
    private boolean hasStarted;
    private Duration validUntil;

    PendingTaskScan(JobRecord job, Map<Integer, PendingReleases.Release> releases, Duration now) {
      this.job = job;
      this.releases = releases;
      this.now = now;
      this.hasStarted = job.doneCount() > 0;
    }

    void run() {
      for (int index = 0; index < job.shardCount() && !isFull(); index++) {
        Shard shard = job.shard(index).shard();
        hasStarted |= !shard.ownedAttempts().isEmpty() || !shard.histories().isEmpty();
        int end = job.endTask(index);
        for (int task = shard.nextNotDone(job.firstTask(index));
            task < end && !isFull();
            task = shard.nextNotDone(task + 1)) {
          PendingReleases.Release release = releases.get(task);
          if (shard.ownedAttempt(task) == null || (release != null && !release.isDone())) {
            addFreeTask(task, shard.history(task), release);
          }
        }
      }
    }

    private boolean isFull() {
      return pending.size() >= MAX_PENDING_TASKS_PER_JOB;
    }

    private void addFreeTask(int task, Shard.History history, PendingReleases.Release release) {
      int failures = history.failures() + (release != null && release.countsAsFailure() ? 1 : 0);
      if (history.attempts() == 0) {
        pending.add(new ClusterView.PendingTask(task, 0, failures, null));
        return;
      }
      boolean isAtCap = failures >= failureCap;
      TaskId id = new TaskId(job.job().id(), task);
      Duration lastEndTime = lastEndTimes.get(id);
      if (lastEndTime == null && isAtCap) {
        // The attempt may have ended in an earlier leader's term; the wait starts now.
        lastEndTimes.put(id, now);
        lastEndTime = now;
      }
      Duration wait = isAtCap ? WAIT_AT_FAILURE_CAP : backoff(failures);
      Duration nextTryAt = lastEndTime == null ? now : lastEndTime.plus(wait);
      if (now.compareTo(nextTryAt) >= 0) {
        pending.add(new ClusterView.PendingTask(task, history.attempts(), failures, lastEndTime));
      } else {
        failureCappedCount += isAtCap ? 1 : 0;
        waitUntil(nextTryAt);
      }
    }

    void waitUntil(Duration moment) {
      validUntil = validUntil == null || moment.compareTo(validUntil) < 0 ? moment : validUntil;
    }
  }
}
