package io.cherryspool.controller.rounds;

import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ScalingPlanner;
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
 * Estimates how much work there is: what has arrived in the last minutes, by the jobs' own times of
 * submission, so that a new leader knows it at once, and what waits. Run times are the owners'
 * estimates, corrected by how those of the job class have turned out.
 *
 * <p>Used on the event loop only.
 */
public final class DemandEstimator {
  /** Over how long arrivals are averaged: a few large jobs must not look like a lasting change. */
  private static final Duration ARRIVAL_WINDOW = Duration.ofMinutes(5);

  /** Short enough that machines are not kept for work which has ceased to come. */
  private static final Duration RECENT_WINDOW = Duration.ofSeconds(90);

  /** The average counts for at most this multiple of the rate within the recent window. */
  private static final double MAX_RATIO_TO_RECENT = 1.6;

  /** The first jobs of a service come at once and say nothing of how many will follow. */
  private static final Duration MIN_OBSERVED_SPAN = Duration.ofSeconds(60);

  /** Tasks of a job class that must have completed before its run time factor is trusted. */
  private static final int MIN_RUN_SAMPLES = 20;

  /** How much the runs before still count when another one is recorded. */
  private static final double RUN_TIME_DECAY = 0.995;

  /** Bounds the run time factor from above, and its reciprocal from below. */
  private static final double MAX_RUN_TIME_FACTOR = 3;

  private final ClusterRecords records;
  private final PendingReleases pendingReleases;
  private final CrashLoopBackoff backoff;
  private final InstantSource clock;
  private final Map<String, JobRecord> recentJobs = new LinkedHashMap<>();
  private final Map<String, RunTimes> runTimesByClass = new HashMap<>();

  /** Run times of a job class against their estimates, in seconds; older runs count less. */
  private static final class RunTimes {
    private double actual;
    private double estimated;
    private int count;
  }

  /**
   * Creates an estimator that has seen no jobs and no runs.
   *
   * @param clock the wall clock, against which the jobs' times of submission count
   */
  public DemandEstimator(
      ClusterRecords records,
      PendingReleases pendingReleases,
      CrashLoopBackoff backoff,
      InstantSource clock) {
    this.records = records;
    this.pendingReleases = pendingReleases;
    this.backoff = backoff;
    this.clock = clock;
  }

  /** Takes the recent jobs from the records, which were all read again. */
  public void onRecordsReloaded() {
    recentJobs.clear();
    for (JobRecord job : records.jobs()) {
      onJobAccepted(job);
    }
  }

  /** Counts the job among the arrivals if it was submitted lately; a second time has no effect. */
  public void onJobAccepted(JobRecord job) {
    if (age(job.job()).compareTo(ARRIVAL_WINDOW) < 0) {
      recentJobs.put(job.job().id(), job);
    }
  }

  /** Records for how long a task of the job ran until it was done. */
  void recordRunTime(Job job, Duration runTime) {
    RunTimes known = runTimesByClass.computeIfAbsent(job.jobClass(), key -> new RunTimes());
    known.actual = known.actual * RUN_TIME_DECAY + seconds(runTime);
    known.estimated = known.estimated * RUN_TIME_DECAY + seconds(job.estimatedRunTime());
    known.count++;
  }

  /** The present wall-clock time, for plans that rest on this estimate. */
  public Instant now() {
    return clock.instant();
  }

  /**
   * The demand of each job that arrived lately, and of each that waits; a job may be in both. Jobs
   * that only crash are left out, so that no machine is added for what runs nowhere.
   */
  public List<ScalingPlanner.JobDemand> estimateDemand() {
    List<ScalingPlanner.JobDemand> result = new ArrayList<>();
    addArrivals(result);
    addWaiting(result);
    return result;
  }

  private void addArrivals(List<ScalingPlanner.JobDemand> result) {
    recentJobs
        .values()
        .removeIf(job -> age(job.job()).compareTo(ARRIVAL_WINDOW) >= 0 || isCrashLooping(job));
    double allWork = 0;
    double recentWork = 0;
    Duration observedSpan = MIN_OBSERVED_SPAN;
    for (JobRecord job : recentJobs.values()) {
      double work = cpuSeconds(job.job(), job.job().taskCount());
      Duration age = age(job.job());
      observedSpan = age.compareTo(observedSpan) > 0 ? age : observedSpan;
      allWork += work;
      recentWork += age.compareTo(RECENT_WINDOW) < 0 ? work : 0;
    }
    double rate = allWork / seconds(observedSpan);
    double maxRate =
        MAX_RATIO_TO_RECENT * recentWork / Math.min(seconds(RECENT_WINDOW), seconds(observedSpan));
    double share = rate <= 0 ? 0 : Math.min(1, maxRate / rate) / seconds(observedSpan);
    for (JobRecord job : recentJobs.values()) {
      double work = cpuSeconds(job.job(), job.job().taskCount());
      double cpus = job.job().taskCount() * job.job().perTask().cpus();
      result.add(new ScalingPlanner.JobDemand(job.job(), work * share, work * cpus * share, 0));
    }
  }

  private void addWaiting(List<ScalingPlanner.JobDemand> result) {
    for (JobRecord job : records.activeJobs()) {
      if (job.outcome() == null && !isCrashLooping(job)) {
        Collection<PendingReleases.Release> releases =
            pendingReleases.releasesOf(job.job().id()).values();
        int running = job.ownedCount() - releases.size();
        int done = job.doneCount() + PendingReleases.countDone(releases);
        int waiting = job.job().taskCount() - done - running;
        if (waiting > 0) {
          result.add(new ScalingPlanner.JobDemand(job.job(), 0, 0, cpuSeconds(job.job(), waiting)));
        }
      }
    }
  }

  private boolean isCrashLooping(JobRecord job) {
    Collection<PendingReleases.Release> releases =
        pendingReleases.releasesOf(job.job().id()).values();
    return job.doneCount() + PendingReleases.countDone(releases) == 0
        && backoff.isCrashLooping(job);
  }

  private double cpuSeconds(Job job, int tasks) {
    return tasks
        * job.perTask().cpus()
        * seconds(job.estimatedRunTime())
        * runTimeFactor(job.jobClass());
  }

  /** How long the tasks of a job class run for each second of their estimates. */
  private double runTimeFactor(String jobClass) {
    RunTimes known = runTimesByClass.get(jobClass);
    if (known == null || known.count < MIN_RUN_SAMPLES || known.estimated <= 0) {
      return 1;
    }
    return Math.max(
        1 / MAX_RUN_TIME_FACTOR, Math.min(MAX_RUN_TIME_FACTOR, known.actual / known.estimated));
  }

  private Duration age(Job job) {
    return Duration.between(job.submittedAt(), clock.instant());
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
