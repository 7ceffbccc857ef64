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
 * Estimates the demand for CPUs by the jobs that arrived in the last minutes and by the tasks that
 * wait. Arrivals are counted by the jobs' recorded times of submission, so that a new leader can
 * estimate them immediately. The users' estimates of run times are corrected by the ratio of actual
 * to estimated run times in the same job class.
 *
 * <p>Used on the event loop only.
 */
public final class DemandEstimator {
  /**
   * Period over which arrivals are averaged; long enough that a few large jobs do not look like a
   * lasting change.
   */
  private static final Duration ARRIVAL_WINDOW = Duration.ofMinutes(5);

  /**
   * Period of the recent arrival rate; short enough that machines are not kept for work that no
   * longer arrives.
   */
  private static final Duration RECENT_WINDOW = Duration.ofSeconds(90);

  /** Limit of the average arrival rate, as a multiple of the rate in the recent window. */
  private static final double MAX_RATIO_TO_RECENT = 1.6;

  /**
   * Minimum length of the period over which the arrival rate is computed. The first jobs of a
   * service arrive all at once, which does not show the rate of those that follow.
   */
  private static final Duration MIN_OBSERVED_SPAN = Duration.ofSeconds(60);

  /** Minimum number of completed tasks of a job class for its run time factor to be used. */
  private static final int MIN_RUN_SAMPLES = 20;

  /**
   * Factor that reduces the weight of the earlier run times each time that another one is recorded.
   */
  private static final double RUN_TIME_DECAY = 0.995;

  /** Maximum run time factor; its reciprocal is the minimum. */
  private static final double MAX_RUN_TIME_FACTOR = 3;

  private final ClusterRecords records;
  private final PendingReleases pendingReleases;
  private final CrashLoopBackoff backoff;
  private final InstantSource clock;
  private final Map<String, JobRecord> recentJobs = new LinkedHashMap<>();
  private final Map<String, RunTimes> runTimesByClass = new HashMap<>();

  /**
   * Weighted sums of the actual and estimated run times of a job class, in seconds; older runs have
   * less weight.
   */
  private static final class RunTimes {
    private double actual;
    private double estimated;
    private int count;
  }

  /**
   * Creates an estimator without jobs and run times.
   *
   * @param clock the wall clock, by which the age of jobs is computed
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

  /** Collects the recent jobs again, after all records were reloaded. */
  public void onRecordsReloaded() {
    recentJobs.clear();
    for (JobRecord job : records.jobs()) {
      onJobAccepted(job);
    }
  }

  /**
   * Adds the job to the arrivals if it was submitted recently. Repeated calls for a job have no
   * effect.
   */
  public void onJobAccepted(JobRecord job) {
    if (age(job.job()).compareTo(ARRIVAL_WINDOW) < 0) {
      recentJobs.put(job.job().id(), job);
    }
  }

  /** Records how long a task of the job ran until it was done. */
  void recordRunTime(Job job, Duration runTime) {
    RunTimes runTimes = runTimesByClass.computeIfAbsent(job.jobClass(), key -> new RunTimes());
    runTimes.actual = runTimes.actual * RUN_TIME_DECAY + seconds(runTime);
    runTimes.estimated = runTimes.estimated * RUN_TIME_DECAY + seconds(job.estimatedRunTime());
    runTimes.count++;
  }

  /** Returns the current wall-clock time, for plans that use this estimate. */
  public Instant now() {
    return clock.instant();
  }

  /**
   * Returns the demands of the jobs that arrived recently and of those with waiting tasks; a job
   * may have both. Crash-looping jobs are left out, so that no machine is added for tasks that fail
   * everywhere.
   */
  public List<ScalingPlanner.JobDemand> estimateDemand() {
    List<ScalingPlanner.JobDemand> result = new ArrayList<>();
    addArrivingDemand(result);
    addWaitingDemand(result);
    return result;
  }

  private void addArrivingDemand(List<ScalingPlanner.JobDemand> result) {
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

  private void addWaitingDemand(List<ScalingPlanner.JobDemand> result) {
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

  /** Returns the ratio of actual to estimated run times of the job class. */
  private double runTimeFactor(String jobClass) {
    RunTimes runTimes = runTimesByClass.get(jobClass);
    if (runTimes == null || runTimes.count < MIN_RUN_SAMPLES || runTimes.estimated <= 0) {
      return 1;
    }
    return Math.max(
        1 / MAX_RUN_TIME_FACTOR,
        Math.min(MAX_RUN_TIME_FACTOR, runTimes.actual / runTimes.estimated));
  }

  private Duration age(Job job) {
    return Duration.between(job.submittedAt(), clock.instant());
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }
}
