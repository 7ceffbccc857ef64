package io.cherryspool.sim.cluster;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

/**
 * A run in which random jobs are submitted to a cluster with random faults. The rules are checked
 * after each event. At the end of the run all accepted jobs must be done, or cancelled if a user
 * requested it.
 */
public final class RandomizedRun {
  private final SimulatedCluster cluster;
  private final SplittableRandom random;
  private double lastArrivalS;

  public RandomizedRun(long seed) {
    this(SimulatedCluster.random(seed));
  }

  public RandomizedRun(SimulatedCluster cluster) {
    this.cluster = cluster;
    random = cluster.random().split();
  }

  public SimulatedCluster cluster() {
    return cluster;
  }

  /**
   * Runs the cluster with new jobs and random faults for {@code faultSeconds}, and then without new
   * jobs and faults for {@code quietSeconds}. At the end all accepted jobs must have ended.
   */
  public void run(double faultSeconds, double quietSeconds) {
    run(
        faultSeconds,
        quietSeconds,
        new FaultInjector(cluster, faultSeconds - 30, this::submitGuestJobs)::start);
  }

  /**
   * Runs the cluster as {@link #run(double, double)} does, but with different faults: the state
   * store loses its data repeatedly, and other faults occur at about the same time.
   */
  public void runWithStateLosses(double faultSeconds, double quietSeconds) {
    run(faultSeconds, quietSeconds, new StateLossInjector(cluster, faultSeconds - 30)::start);
  }

  private void run(double faultSeconds, double quietSeconds, Runnable startFaults) {
    lastArrivalS = faultSeconds;
    cluster.network().setDuplicatingHeartbeats(true);
    cluster.schedule(faultSeconds, () -> cluster.network().setDuplicatingHeartbeats(false));
    cluster.schedule(1, this::submitRandomJob);
    startFaults.run();
    cluster.run(faultSeconds + SimulatedCluster.CANCEL_LIMIT.toSeconds());
    // All faults have ended. From now on missing replies and jobs that wait despite free capacity
    // are violations.
    cluster.rules().setFaultsEndedAt(cluster.time().now());
    checkProgress();
    cluster.run(quietSeconds - SimulatedCluster.CANCEL_LIMIT.toSeconds());
    cluster.rules().checkEndOfRun();
    cluster.rules().check(cluster.workers());
  }

  /**
   * Runs the cluster with random jobs for the given time. Injects no faults; the caller may inject
   * its own.
   */
  public void runWithoutFaults(double seconds) {
    if (lastArrivalS == 0) {
      lastArrivalS = Double.MAX_VALUE;
      cluster.schedule(1, this::submitRandomJob);
    }
    cluster.run(seconds);
  }

  private void checkProgress() {
    cluster.rules().checkProgress(cluster.workers());
    cluster.schedule(1, this::checkProgress);
  }

  private void submitRandomJob() {
    if (cluster.time().seconds() > lastArrivalS) {
      return;
    }
    cluster.schedule(0.5 + random.nextDouble() * 6, this::submitRandomJob);
    if (random.nextInt(10) == 0) {
      cluster.users().submitInvalid(randomJob("lane", "red", Priority.NORMAL, 1, 1));
      cluster.users().pollAndCancelUnknownJob();
    }
    boolean isFailing = random.nextInt(12) == 0;
    int size = 1 + random.nextInt(random.nextInt(10) == 0 ? 80 : 8);
    submitRandomJob(
        isFailing ? FakeWorker.FAILING_JOB_CLASS : "lane",
        random.nextBoolean() ? "red" : "blue",
        random.nextInt(3) == 0 ? Priority.HIGH : Priority.NORMAL,
        size,
        1 + random.nextInt(8),
        isFailing || random.nextInt(6) == 0);
  }

  /**
   * Submits jobs of a team without a guaranteed quota: one job of 400 tasks, or 40 jobs of one
   * task.
   */
  private void submitGuestJobs() {
    int tasks = random.nextBoolean() ? 1 : 400;
    for (int i = 0; i < 40; i += tasks) {
      submitRandomJob("visit", "guest", Priority.LOW, tasks, 0.25, false);
    }
  }

  private void submitRandomJob(
      String jobClass,
      String team,
      Priority priority,
      int size,
      double cpus,
      boolean shouldCancel) {
    Job job = randomJob(jobClass, team, priority, size, cpus);
    cluster.users().submit(job);
    if (shouldCancel) {
      cluster.schedule(random.nextDouble() * 25, () -> cluster.users().cancel(job.id()));
    }
    if (random.nextInt(4) == 0) {
      // The job is submitted again, possibly through another node or after its end.
      cluster.schedule(random.nextDouble() * 60, () -> cluster.users().resubmit(job));
    }
    if (random.nextInt(12) == 0) {
      // Most jobs have completed by the time of this cancel. The others are cancelled by it.
      cluster.schedule(60 + random.nextDouble() * 60, () -> cluster.users().cancel(job.id()));
    }
  }

  private Job randomJob(String jobClass, String team, Priority priority, int size, double cpus) {
    boolean savesCheckpoints = random.nextBoolean();
    return new Job(
        cluster.jobs().nextId(),
        jobClass,
        team,
        priority,
        size,
        new Resources(cpus, 0, Math.min(4, 4 * cpus)),
        "img-" + random.nextInt(3),
        1,
        null,
        random.nextInt(8) == 0 ? SimulatedCluster.ZONES.get(random.nextInt(3)) : null,
        random.nextInt(8) == 0,
        random.nextInt(8) == 0,
        random.nextInt(4) != 0,
        // Long tasks run for longer than an outage. Only small jobs have them, since large jobs of
        // long tasks would not end within the run.
        Duration.ofSeconds(2 + random.nextInt(size <= 8 && random.nextInt(6) == 0 ? 80 : 10)),
        savesCheckpoints ? Duration.ofSeconds(4) : Duration.ZERO,
        savesCheckpoints ? Duration.ofSeconds(1) : Duration.ZERO,
        null,
        Instant.EPOCH);
  }
}
