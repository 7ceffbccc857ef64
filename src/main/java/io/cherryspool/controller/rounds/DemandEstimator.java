package io.cherryspool.controller.rounds;

import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ScalingPlan;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How much work there is: what has arrived in the last minutes, by the jobs' own times of
 * submission, so that a new leader knows it at once, and what waits. Run times are the owners'
 * estimates, corrected by how those of the class have turned out.
 */
public final class DemandEstimator {
  /** Long enough that a few large jobs do not look like a change of the times. */
  private static final Duration WINDOW = Duration.ofSeconds(300);

  /** Short enough that machines are not kept for work which has ceased to come. */
  private static final Duration LATELY = Duration.ofSeconds(90);

  private static final double RISE = 1.6;

  /** The first jobs of a service come at once and say nothing of how many will follow. */
  private static final Duration LEAST = Duration.ofSeconds(60);

  /** Tasks of a class after which its pace is trusted, and how much an older one still counts. */
  private static final int ENOUGH = 20;

  private static final double FADE = 0.995;
  private static final double MOST = 3;

  private final ClusterRecords replica;
  private final PendingReleases pendingReleases;
  private final CrashLoopBackoff backoff;
  private final InstantSource clock;
  private final Map<String, JobRecord> recent = new LinkedHashMap<>();
  private final Map<String, Runs> runs = new HashMap<>();

  /** Run times of a class against their estimates. */
  private static final class Runs {
    private double actual;
    private double expected;
    private int count;
  }

  public DemandEstimator(
      ClusterRecords replica,
      PendingReleases pendingReleases,
      CrashLoopBackoff backoff,
      InstantSource clock) {
    this.replica = replica;
    this.pendingReleases = pendingReleases;
    this.backoff = backoff;
    this.clock = clock;
  }

  public void recordsReloaded() {
    recent.clear();
    replica.jobs().forEach(this::jobAccepted);
  }

  public void jobAccepted(JobRecord entry) {
    if (age(entry.job()).compareTo(WINDOW) < 0) {
      recent.put(entry.job().id(), entry);
    }
  }

  /** A task ran for so long until it was done. */
  void recordRunTime(Job job, Duration time) {
    Runs known = runs.computeIfAbsent(job.jobClass(), key -> new Runs());
    known.actual = known.actual * FADE + seconds(time);
    known.expected = known.expected * FADE + seconds(job.estimatedRunTime());
    known.count++;
  }

  /** How long the tasks of a class run for a second of their estimate. */
  double runTimeFactor(String jobClass) {
    Runs known = runs.get(jobClass);
    if (known == null || known.count < ENOUGH || known.expected <= 0) {
      return 1;
    }
    return Math.max(1 / MOST, Math.min(MOST, known.actual / known.expected));
  }

  public Instant now() {
    return clock.instant();
  }

  public List<ScalingPlan.JobDemand> estimateLoads() {
    // No machine is rented for what does not seem to run anywhere.
    recent
        .values()
        .removeIf(entry -> age(entry.job()).compareTo(WINDOW) >= 0 || crashLooping(entry));
    List<ScalingPlan.JobDemand> result = new ArrayList<>();
    double all = 0;
    double lately = 0;
    Duration span = LEAST;
    for (JobRecord entry : recent.values()) {
      double work = work(entry.job(), entry.job().taskCount());
      Duration age = age(entry.job());
      span = age.compareTo(span) > 0 ? age : span;
      all += work;
      lately += age.compareTo(LATELY) < 0 ? work : 0;
    }
    double rate = all / seconds(span);
    double bound = RISE * lately / Math.min(seconds(LATELY), seconds(span));
    double share = rate <= 0 ? 0 : Math.min(1, bound / rate) / seconds(span);
    for (JobRecord entry : recent.values()) {
      double work = work(entry.job(), entry.job().taskCount());
      double cpus = entry.job().taskCount() * entry.job().perTask().cpus();
      result.add(new ScalingPlan.JobDemand(entry.job(), work * share, work * cpus * share, 0));
    }
    for (JobRecord entry : replica.activeJobs()) {
      if (entry.outcome() == null && !crashLooping(entry)) {
        Collection<PendingReleases.Release> known =
            pendingReleases.ofJob(entry.job().id()).values();
        int running = entry.ownedCount() - known.size();
        int done = entry.doneCount() + PendingReleases.countDone(known);
        int waiting = entry.job().taskCount() - done - running;
        if (waiting > 0) {
          result.add(new ScalingPlan.JobDemand(entry.job(), 0, 0, work(entry.job(), waiting)));
        }
      }
    }
    return result;
  }

  private boolean crashLooping(JobRecord entry) {
    Collection<PendingReleases.Release> known = pendingReleases.ofJob(entry.job().id()).values();
    return entry.doneCount() + PendingReleases.countDone(known) == 0
        && backoff.isCrashLooping(entry);
  }

  private double work(Job job, int tasks) {
    return tasks
        * job.perTask().cpus()
        * seconds(job.estimatedRunTime())
        * runTimeFactor(job.jobClass());
  }

  private Duration age(Job job) {
    return Duration.between(job.submittedAt(), clock.instant());
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
