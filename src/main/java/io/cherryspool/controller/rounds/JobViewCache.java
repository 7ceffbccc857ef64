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
 * What planning sees of the jobs. A job's view is kept until something about the job changes or
 * some of its tasks have waited long enough, so that a round's preparation costs what happened
 * since the last one.
 *
 * <p>Used on the event loop only.
 */
final class JobViewCache {
  /** Bounds a job's part of a round, so that a job of many tasks does not make it long. */
  private static final int MAX_PENDING_TASKS_PER_JOB = 512;

  /** The longest time that a task waits after failures below the failure cap. */
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

  /**
   * The failure cap of a task rises by one each time so long has passed, since neither lost
   * machines nor bad ones are the job's fault, and its user would wait for good.
   */
  private static final Duration WAIT_AT_FAILURE_CAP = Duration.ofSeconds(90);

  private final ClusterRecords records;
  private final Fleet fleet;
  private final TaskTracking tasks;
  private final int failureCap;
  private final Map<String, CachedView> views = new HashMap<>();

  /** When the last attempt of a task ended, of those that ended in this term without success. */
  private final Map<TaskId, Duration> lastEndTimes = new HashMap<>();

  /**
   * A job as last seen.
   *
   * @param validUntil when more of its tasks may be tried, null if waiting changes nothing
   */
  private record CachedView(ClusterView.JobView view, Duration validUntil) {
    boolean isValidAt(Duration now) {
      return validUntil == null || now.compareTo(validUntil) < 0;
    }
  }

  /**
   * Creates a cache without views.
   *
   * @param failureCap how often a task may fail before it is tried only seldom
   */
  JobViewCache(ClusterRecords records, Fleet fleet, TaskTracking tasks, int failureCap) {
    this.records = records;
    this.fleet = fleet;
    this.tasks = tasks;
    this.failureCap = failureCap;
  }

  /** Discards the job's view, since its records have changed. */
  void onJobChanged(JobRecord job) {
    String id = job.job().id();
    views.remove(id);
    if (job.outcome() != null && !lastEndTimes.isEmpty()) {
      lastEndTimes.keySet().removeIf(task -> task.jobId().equals(id));
    }
  }

  /** Discards all views, since the records were all read again. */
  void invalidateAll() {
    views.clear();
  }

  /** Records that an attempt of the task has ended, or that its machine is lost. */
  void onAttemptEnded(TaskId task, boolean done, Duration now) {
    if (done) {
      lastEndTimes.remove(task);
    } else {
      lastEndTimes.put(task, now);
    }
    views.remove(task.jobId());
  }

  /** The jobs of which tasks may be placed. */
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

  /** Whether any task of the job was ever done. */
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
    Optional<Map<String, Integer>> byZone =
        job.requiresSingleZone() || job.requiresZoneSpread()
            ? ownedTasksByZone(record, releases)
            : Optional.of(Map.of());
    if (byZone.isEmpty()) {
      // A task of it runs in a zone that is not known, so that no place is surely allowed.
      return new CachedView(
          new ClusterView.JobView(job, List.of(), Map.of(), scan.failureCapped, scan.hasStarted),
          now);
    }
    return new CachedView(
        new ClusterView.JobView(job, pending, byZone.get(), scan.failureCapped, scan.hasStarted),
        scan.validUntil);
  }

  /** The task that failed least, and the first one again: one of either kind may be the bad one. */
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

  /** The owned tasks by zone; empty if one is on a machine of which the zone is not known. */
  private Optional<Map<String, Integer>> ownedTasksByZone(
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

  /** A task that keeps failing at once must not fill every round. */
  private static Duration backoff(int failures) {
    if (failures < 2) {
      return Duration.ZERO;
    }
    Duration wait = Duration.ofMillis(500L << Math.min(failures, 10));
    return wait.compareTo(MAX_BACKOFF) < 0 ? wait : MAX_BACKOFF;
  }

  /** Finds the tasks of a job that may be placed now. */
  private final class PendingTaskScan {
    private final JobRecord job;
    private final Map<Integer, PendingReleases.Release> releases;
    private final Duration now;
    private final List<ClusterView.PendingTask> pending = new ArrayList<>();
    private int failureCapped;
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
        // What an earlier leader saw is not known; the wait starts now.
        lastEndTimes.put(id, now);
        lastEndTime = now;
      }
      Duration wait = isAtCap ? WAIT_AT_FAILURE_CAP : backoff(failures);
      Duration nextTryAt = lastEndTime == null ? now : lastEndTime.plus(wait);
      if (now.compareTo(nextTryAt) >= 0) {
        pending.add(new ClusterView.PendingTask(task, history.attempts(), failures, lastEndTime));
      } else {
        failureCapped += isAtCap ? 1 : 0;
        waitUntil(nextTryAt);
      }
    }

    void waitUntil(Duration moment) {
      validUntil = validUntil == null || moment.compareTo(validUntil) < 0 ? moment : validUntil;
    }
  }
}
