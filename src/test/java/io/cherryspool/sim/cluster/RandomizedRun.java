package io.cherryspool.sim.cluster;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

/**
 * A random run: work of every kind arrives at a cluster with random faults. The rules are checked
 * after each event, and at the end every job that nobody cancelled must be done.
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

  /** Runs with faults for so many seconds, then without, until everything has to be over. */
  public void run(double faultSeconds, double quietSeconds) {
    run(
        faultSeconds,
        quietSeconds,
        new FaultInjector(cluster, faultSeconds - 30, this::submitGuestWork)::begin);
  }

  /** As above; the faults are losses of the state store's data, and others around them. */
  public void runWithStateLosses(double faultSeconds, double quietSeconds) {
    run(faultSeconds, quietSeconds, new StateLossInjector(cluster, faultSeconds - 30)::begin);
  }

  private void run(double faultSeconds, double quietSeconds, Runnable faults) {
    lastArrivalS = faultSeconds;
    cluster.network().setDuplicatingHeartbeats(true);
    cluster.schedule(faultSeconds, () -> cluster.network().setDuplicatingHeartbeats(false));
    cluster.schedule(1, this::submitWork);
    faults.run();
    cluster.run(faultSeconds + SimulatedCluster.CANCEL_LIMIT.toSeconds());
    // The last fault is over; from here on nothing excuses silence or idle room.
    cluster.rules().setFaultsEndedAt(cluster.time().now());
    checkProgress();
    cluster.run(quietSeconds - SimulatedCluster.CANCEL_LIMIT.toSeconds());
    cluster.rules().checkEndOfRun();
    cluster.rules().check(cluster.workers());
  }

  /** Goes on with arriving work and no faults but those that the caller makes. */
  public void runWithoutFaults(double seconds) {
    if (lastArrivalS == 0) {
      lastArrivalS = Double.MAX_VALUE;
      cluster.schedule(1, this::submitWork);
    }
    cluster.run(seconds);
  }

  private void checkProgress() {
    cluster.rules().checkProgress(cluster.workers());
    cluster.schedule(1, this::checkProgress);
  }

  private void submitWork() {
    if (cluster.time().seconds() > lastArrivalS) {
      return;
    }
    cluster.schedule(0.5 + random.nextDouble() * 6, this::submitWork);
    if (random.nextInt(10) == 0) {
      cluster.users().submitInvalid(job("lane", "red", Priority.NORMAL, 1, 1));
      cluster.users().askForUnknownJob();
    }
    boolean broken = random.nextInt(12) == 0;
    int size = 1 + random.nextInt(random.nextInt(10) == 0 ? 80 : 8);
    submitWork(
        broken ? FakeWorker.FAILING_JOB_CLASS : "lane",
        random.nextBoolean() ? "red" : "blue",
        random.nextInt(3) == 0 ? Priority.HIGH : Priority.NORMAL,
        size,
        1 + random.nextInt(8),
        broken || random.nextInt(6) == 0);
  }

  /** A team without a guarantee brings one array, or many single tasks at once. */
  private void submitGuestWork() {
    int tasks = random.nextBoolean() ? 1 : 400;
    for (int i = 0; i < 40; i += tasks) {
      submitWork("visit", "guest", Priority.LOW, tasks, 0.25, false);
    }
  }

  private void submitWork(
      String jobClass, String team, Priority priority, int size, double cpus, boolean cancelled) {
    Job job = job(jobClass, team, priority, size, cpus);
    cluster.users().submit(job);
    if (cancelled) {
      cluster.schedule(random.nextDouble() * 25, () -> cluster.users().cancel(job.id()));
    }
    if (random.nextInt(4) == 0) {
      // A repeated submission, maybe through another node, maybe after the end.
      cluster.schedule(random.nextDouble() * 60, () -> cluster.users().resubmit(job));
    }
    if (random.nextInt(12) == 0) {
      // A cancel that mostly finds the job done; where it does not, the job counts as cancelled.
      cluster.schedule(60 + random.nextDouble() * 60, () -> cluster.users().cancel(job.id()));
    }
  }

  private Job job(String jobClass, String team, Priority priority, int size, double cpus) {
    boolean saves = random.nextBoolean();
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
        // Long tasks outlast a gap; large jobs of them would outlast the day.
        Duration.ofSeconds(2 + random.nextInt(size <= 8 && random.nextInt(6) == 0 ? 80 : 10)),
        saves ? Duration.ofSeconds(4) : Duration.ZERO,
        saves ? Duration.ofSeconds(1) : Duration.ZERO,
        null,
        Instant.EPOCH);
  }
}
