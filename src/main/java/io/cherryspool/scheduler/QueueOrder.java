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
 * The order of the queue: priority, then the earliest deadline that can still be met (an exception
 * to the source, see docs/design.md), then as the design's source orders compaction jobs, lower
 * level first, unassigned before lapsed, fewer failures, earliest lapse. The source's level tells
 * small work from large; here it is the size of the whole job, by powers of four.
 *
 * <p>Teams whose unfinished work all fits into their guarantee need not wait for other teams, so
 * theirs goes before that of teams which borrow.
 *
 * <p>Age keeps this from starving anyone: a job that has not begun at the age of {@code
 * beginWithin} has one task put before everything else, if it is the oldest of its line, at three
 * times that age a job counts as one priority higher, and a job whose deadlines are all lost is due
 * at four times that age. Sooner, late jobs would make those late that can still be met.
 */
final class QueueOrder {
  private static final Comparator<Entry> ORDER =
      Comparator.comparing((Entry entry) -> !entry.front())
          .thenComparing(entry -> entry.front() ? entry.job().job().submittedAt() : Instant.EPOCH)
          .thenComparing(entry -> !entry.owed())
          .thenComparingInt(entry -> -entry.rank())
          .thenComparing(Entry::due)
          .thenComparingInt(Entry::level)
          .thenComparing(Entry::retried)
          .thenComparingInt(Entry::failures)
          .thenComparing(Entry::lapsed)
          .thenComparing(entry -> entry.job().job().submittedAt())
          .thenComparing(entry -> entry.job().job().id());

  private static final Comparator<Job> OLDEST =
      Comparator.comparing(Job::submittedAt).thenComparing(Job::id);

  private static final List<Double> JUST_ONCE = List.of(1.0);

  private QueueOrder() {}

  /** Tasks of one job that have the same place in the queue. */
  record Entry(
      JobView job,
      boolean front,
      boolean owed,
      int rank,
      Instant due,
      int level,
      boolean retried,
      int failures,
      Duration lapsed,
      List<Integer> tasks) {}

  static List<Entry> sortedEntries(ClusterView cluster) {
    List<Entry> entries = new ArrayList<>();
    Set<String> fronts = fronts(cluster);
    for (JobView view : cluster.jobs()) {
      Job job = view.job();
      boolean front = fronts.contains(job.id());
      boolean owed = cluster.teamsWithinGuarantee().contains(job.team());
      int rank = rank(job, cluster);
      Instant due = due(job, cluster);
      int level = level(job);
      List<Integer> fresh = new ArrayList<>();
      for (PendingTask task : view.pendingTasks()) {
        if (front) {
          entries.add(
              new Entry(
                  view,
                  true,
                  owed,
                  rank,
                  due,
                  level,
                  false,
                  0,
                  Duration.ZERO,
                  List.of(task.index())));
          front = false;
        } else if (task.attempts() == 0) {
          fresh.add(task.index());
        } else {
          Duration lapsed =
              task.lastAttemptEndedAt() == null ? Duration.ZERO : task.lastAttemptEndedAt();
          entries.add(
              new Entry(
                  view,
                  false,
                  owed,
                  rank,
                  due,
                  level,
                  true,
                  task.failures(),
                  lapsed,
                  List.of(task.index())));
        }
      }
      if (!fresh.isEmpty()) {
        entries.add(new Entry(view, false, owed, rank, due, level, false, 0, Duration.ZERO, fresh));
      }
    }
    entries.sort(ORDER);
    return entries;
  }

  /**
   * Jobs that differ in none of these wait for the same, so that one of them at a time is enough.
   */
  private record Line(String team, String jobClass, List<String> types, String zone) {

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof Line other
          && team.equals(other.team)
          && jobClass.equals(other.jobClass)
          && Objects.equals(types, other.types)
          && Objects.equals(zone, other.zone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * team.hashCode() + jobClass.hashCode()) + Objects.hashCode(zone);
    }
  }

  /**
   * The jobs of which one task goes before everything else: of each line the oldest that has not
   * begun in time. Were it each of them, a swarm of small jobs of one team would grow old together
   * and go before all urgent work at once.
   */
  private static Set<String> fronts(ClusterView cluster) {
    Instant limit = cluster.now().minus(cluster.maxStartDelay());
    Map<Line, Job> oldest = new HashMap<>();
    for (JobView view : cluster.jobs()) {
      Job job = view.job();
      if (!view.hasStarted() && !job.submittedAt().isAfter(limit)) {
        oldest.merge(
            new Line(job.team(), job.jobClass(), job.allowedTypes(), job.requiredZone()),
            job,
            (a, b) -> OLDEST.compare(a, b) <= 0 ? a : b);
      }
    }
    Set<String> result = new HashSet<>();
    oldest.values().forEach(job -> result.add(job.id()));
    return result;
  }

  /**
   * The job's priority, one higher from an age on at which it must not wait for others any more.
   */
  static int rank(Job job, ClusterView cluster) {
    Duration age = Duration.between(job.submittedAt(), cluster.now());
    boolean aged = age.compareTo(Durations.multiply(cluster.maxStartDelay(), 3)) >= 0;
    return job.priority().ordinal() + (aged ? 1 : 0);
  }

  /**
   * The next moment named by the aims that one more run of its tasks can still meet; when all are
   * lost, an age at which others must not go before it any more; without any, never before that.
   */
  static Instant due(Job job, ClusterView cluster) {
    if (job.deadline() != null) {
      Instant soonest = cluster.now().plus(job.estimatedRunTime());
      for (double times : cluster.deadlineMultiples().getOrDefault(job.jobClass(), JUST_ONCE)) {
        Instant due = job.submittedAt().plusMillis((long) (job.deadline().toMillis() * times));
        if (!due.isBefore(soonest)) {
          return due;
        }
      }
    }
    Instant aged = job.submittedAt().plus(Durations.multiply(cluster.maxStartDelay(), 4));
    // Without a deadline small work goes before large until age tells: hundreds of single tasks
    // stood behind an array of 25,000 that had come a minute sooner.
    return job.deadline() != null || aged.isBefore(cluster.now()) ? aged : Instant.MAX;
  }

  static int level(Job job) {
    double work =
        job.taskCount()
            * Math.max(0.1, job.perTask().cpus())
            * Math.max(1, job.estimatedRunTime().toSeconds());
    return (int) Math.max(0, Math.floor(Math.log(work) / Math.log(4)));
  }
}
