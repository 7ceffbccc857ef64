package io.cherryspool.scheduler;

import io.cherryspool.model.Durations;
import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.PendingTask;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Defines the order of the queue: higher priority first, then the earliest deadline that can still
 * be met, then smaller jobs, first attempts before retries, fewer failures, and the earliest end of
 * the last attempt. The criteria after the deadline follow the order of compaction jobs in the
 * scheduler that this design is based on, where a lower level comes first; the deadline is an
 * exception to that order, see docs/design.md. A compaction job's level separates small work from
 * large. Here it is replaced by the size of the whole job, in powers of four.
 *
 * <p>Teams whose whole unfinished work fits into their guaranteed quota need not wait for other
 * teams: their work comes before that of teams with more work.
 *
 * <p>Aging prevents starvation. Of the jobs in an {@link EquivalenceClass} that have not started at
 * the age of {@code maxStartDelay}, the oldest has one task promoted, that is, put before all other
 * work. At three times that age a job's priority is raised by one, and at four times that age a job
 * whose deadlines are all missed counts as due. If aging began sooner, late jobs would delay those
 * that can still meet their deadlines.
 */
final class QueueOrder {
  /** Age at which a job's priority is raised by one, as a multiple of the maximum start delay. */
  private static final int PRIORITY_RAISE_START_DELAYS = 3;

  /**
   * Age at which a job without a deadline that can still be met is due, as a multiple of the
   * maximum start delay.
   */
  private static final int DUE_START_DELAYS = 4;

  /** Minimum number of CPUs that a task counts for when its work is computed. */
  static final double MIN_TASK_CPUS = 0.1;

  /** Ratio between the work of jobs of successive size levels. */
  private static final int SIZE_LEVEL_RATIO = 4;

  private static final Comparator<Entry> ORDER =
      Comparator.comparing((Entry entry) -> !entry.isPromoted())
          .thenComparing(
              entry -> entry.isPromoted() ? entry.view().job().submittedAt() : Instant.EPOCH)
          .thenComparing(entry -> !entry.rank().isTeamWithinGuarantee())
          .thenComparingInt(entry -> -entry.rank().priority())
          .thenComparing(entry -> entry.rank().dueAt())
          .thenComparingInt(entry -> entry.rank().sizeLevel())
          .thenComparing(Entry::isRetry)
          .thenComparingInt(Entry::failures)
          .thenComparing(Entry::lastAttemptEndedAt)
          .thenComparing(entry -> entry.view().job().submittedAt())
          .thenComparing(entry -> entry.view().job().id());

  private static final Comparator<Job> OLDEST_FIRST =
      Comparator.comparing(Job::submittedAt).thenComparing(Job::id);

  private static final List<Double> DEFAULT_DEADLINE_MULTIPLES = List.of(1.0);

  private QueueOrder() {}

  /**
   * The properties of a job by which its tasks are ordered relative to those of other jobs.
   *
   * @param isTeamWithinGuarantee whether the whole unfinished work of the job's team fits into the
   *     team's guaranteed quota
   * @param priority the ordinal of the priority, raised by the job's age, see {@link #priority}
   * @param dueAt see {@link #dueAt}
   * @param sizeLevel see {@link #sizeLevel}
   */
  private record JobRank(
      boolean isTeamWithinGuarantee, int priority, Instant dueAt, int sizeLevel) {}

  /**
   * Tasks of one job with the same position in the queue.
   *
   * @param isPromoted whether the tasks come before all entries that are not promoted, because the
   *     job has waited too long for its start
   * @param isRetry whether the tasks were started before
   * @param failures the number of failures of each of the tasks
   * @param lastAttemptEndedAt the monotonic clock's time at which the last attempt ended, zero if
   *     there was no attempt or its end is not known
   * @param tasks the indices of the tasks in the job
   */
  record Entry(
      JobView view,
      JobRank rank,
      boolean isPromoted,
      boolean isRetry,
      int failures,
      Duration lastAttemptEndedAt,
      List<Integer> tasks) {

    static Entry promoted(JobView view, JobRank rank, PendingTask task) {
      return new Entry(view, rank, true, false, 0, Duration.ZERO, List.of(task.index()));
    }

    static Entry retry(JobView view, JobRank rank, PendingTask task) {
      Duration ended = task.lastAttemptEndedAt();
      return new Entry(
          view,
          rank,
          false,
          true,
          task.failures(),
          ended == null ? Duration.ZERO : ended,
          List.of(task.index()));
    }

    static Entry firstAttempts(JobView view, JobRank rank, List<Integer> tasks) {
      return new Entry(view, rank, false, false, 0, Duration.ZERO, tasks);
    }
  }

  /** Returns all pending tasks in the order in which they are to be placed. */
  static List<Entry> sortedEntries(ClusterView cluster) {
    List<Entry> entries = new ArrayList<>();
    Set<String> promotedJobs = promotedJobs(cluster);
    for (JobView view : cluster.jobs()) {
      addEntries(view, cluster, promotedJobs.contains(view.job().id()), entries);
    }
    entries.sort(ORDER);
    return entries;
  }

  private static void addEntries(
      JobView view, ClusterView cluster, boolean isJobPromoted, List<Entry> entries) {
    Job job = view.job();
    JobRank rank =
        new JobRank(
            cluster.teamsWithinGuarantee().contains(job.team()),
            priority(job, cluster),
            dueAt(job, cluster),
            sizeLevel(job));
    boolean isNextPromoted = isJobPromoted;
    List<Integer> firstAttempts = new ArrayList<>();
    for (PendingTask task : view.pendingTasks()) {
      if (isNextPromoted) {
        entries.add(Entry.promoted(view, rank, task));
        isNextPromoted = false;
      } else if (task.attempts() == 0) {
        firstAttempts.add(task.index());
      } else {
        entries.add(Entry.retry(view, rank, task));
      }
    }
    if (!firstAttempts.isEmpty()) {
      entries.add(Entry.firstAttempts(view, rank, firstAttempts));
    }
  }

  /** The properties that are equal for jobs which wait for the same machines and the same quota. */
  private record EquivalenceClass(
      String team, String jobClass, List<String> allowedTypes, String requiredZone) {

    // Written by hand, since generated record methods are linked at run time; see "Start-up" in
    // docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof EquivalenceClass other
          && team.equals(other.team)
          && jobClass.equals(other.jobClass)
          && Objects.equals(allowedTypes, other.allowedTypes)
          && Objects.equals(requiredZone, other.requiredZone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * team.hashCode() + jobClass.hashCode()) + Objects.hashCode(requiredZone);
    }
  }

  /**
   * Returns the ids of the jobs that have one task promoted: in each equivalence class, the oldest
   * job that has not started in time. If each late job had a task promoted, hundreds of small jobs
   * of one team that were submitted together would come before all urgent work at the same time.
   */
  private static Set<String> promotedJobs(ClusterView cluster) {
    Instant latestSubmission = cluster.now().minus(cluster.maxStartDelay());
    Map<EquivalenceClass, Job> oldestByClass = new HashMap<>();
    for (JobView view : cluster.jobs()) {
      Job job = view.job();
      if (!view.hasStarted() && !job.submittedAt().isAfter(latestSubmission)) {
        oldestByClass.merge(
            new EquivalenceClass(
                job.team(), job.jobClass(), job.allowedTypes(), job.requiredZone()),
            job,
            (a, b) -> OLDEST_FIRST.compare(a, b) <= 0 ? a : b);
      }
    }
    Set<String> result = new HashSet<>();
    for (Job job : oldestByClass.values()) {
      result.add(job.id());
    }
    return result;
  }

  /**
   * Returns the ordinal of the job's priority, raised by one at three times the maximum start
   * delay.
   */
  static int priority(Job job, ClusterView cluster) {
    Duration age = Duration.between(job.submittedAt(), cluster.now());
    Duration raiseAge = Durations.multiply(cluster.maxStartDelay(), PRIORITY_RAISE_START_DELAYS);
    return job.priority().ordinal() + (age.compareTo(raiseAge) >= 0 ? 1 : 0);
  }

  /**
   * Returns the time at which the job is due. This is the first of the multiples of its deadline
   * measured by the service-level objectives that a task started now can still meet. If none can be
   * met, it is four times the maximum start delay after the submission.
   *
   * <p>A job without a deadline is due at the latter time too, once that has passed. Until then it
   * is due at {@link Instant#MAX}, so that small jobs come before large ones: otherwise hundreds of
   * single tasks would wait for an array of 25,000 tasks that was submitted a minute before them.
   */
  static Instant dueAt(Job job, ClusterView cluster) {
    if (job.deadline() != null) {
      Instant earliestEnd = cluster.now().plus(job.estimatedRunTime());
      for (double multiple :
          cluster.deadlineMultiples().getOrDefault(job.jobClass(), DEFAULT_DEADLINE_MULTIPLES)) {
        Instant dueAt = job.submittedAt().plusMillis((long) (job.deadline().toMillis() * multiple));
        if (!dueAt.isBefore(earliestEnd)) {
          return dueAt;
        }
      }
    }
    Instant overdueAt =
        job.submittedAt().plus(Durations.multiply(cluster.maxStartDelay(), DUE_START_DELAYS));
    return job.deadline() != null || overdueAt.isBefore(cluster.now()) ? overdueAt : Instant.MAX;
  }

  /**
   * Returns the logarithm to base four of the whole job's estimated work in CPU seconds, rounded
   * down.
   */
  static int sizeLevel(Job job) {
    double cpuSeconds =
        job.taskCount()
            * Math.max(MIN_TASK_CPUS, job.perTask().cpus())
            * Math.max(1, job.estimatedRunTime().toSeconds());
    return (int) Math.max(0, Math.floor(Math.log(cpuSeconds) / Math.log(SIZE_LEVEL_RATIO)));
  }
}
