package io.cherryspool.sim.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** What tests share that inject chosen faults into a simulated cluster. */
public abstract class DirectedFaultsFixture {
  /** Of tasks that outlast the faults. */
  protected static final Duration LONG_RUN_TIME = Duration.ofMinutes(2);

  private static final double SETTLE_TIME_S = 25;
  private static final int RUNNING_TIMEOUT_S = 60;

  /**
   * The cluster of the present run; set by {@link #startCluster}, or by a test that needs another.
   */
  protected SimulatedCluster cluster;

  /** A job that is to end and one that the test cancels. */
  protected record TwoJobs(Job kept, Job cancelled) {
    public List<Job> all() {
      return List.of(kept, cancelled);
    }
  }

  /** Starts a cluster and lets it settle, so that it has a leader and machines. */
  protected void startCluster(long seed, int controllers) {
    cluster = SimulatedCluster.of(seed, controllers);
    cluster.run(SETTLE_TIME_S);
  }

  protected Job submit(String team, int tasks, double cpus, Duration runTime) {
    Job job = cluster.jobs().create(team, tasks, cpus, runTime);
    cluster.users().submit(job);
    return job;
  }

  /** Settles a cluster of three and submits a job of many tasks; so many of them run then. */
  protected Job startClusterWithJob(long seed, int tasks, Duration runTime, int running) {
    startCluster(seed, 3);
    Job job = submit("blue", tasks, 4, runTime);
    awaitRunning(job, running);
    return job;
  }

  /** As above, with a second job of eight long tasks that the test is to cancel. */
  protected TwoJobs startClusterWithTwoJobs(long seed, int tasks, Duration runTime, int running) {
    startCluster(seed, 3);
    Job kept = submit("blue", tasks, 4, runTime);
    Job cancelled = submit("red", 8, 4, LONG_RUN_TIME);
    awaitRunning(kept, running);
    return new TwoJobs(kept, cancelled);
  }

  /** Goes on until so many tasks of the job run; fails after a minute. */
  protected void awaitRunning(Job job, int tasks) {
    runUntil(() -> cluster.fleet().runningTaskCount(job) >= tasks, 0.1, 10 * RUNNING_TIMEOUT_S);
    assertTrue(cluster.fleet().runningTaskCount(job) >= tasks, job.id() + " runs");
  }

  /** Goes on until a node leads that is not this one; fails after ten seconds. */
  protected SimulatedController awaitLeaderOtherThan(SimulatedController node, double stepS) {
    runUntil(() -> cluster.leaderOtherThan(node).isPresent(), stepS, (int) Math.round(10 / stepS));
    Optional<SimulatedController> next = cluster.leaderOtherThan(node);
    assertTrue(next.isPresent(), "another is elected");
    return next.orElseThrow();
  }

  /** Goes on until a user has received that the job is cancelled; fails after so many steps. */
  protected void awaitCancelConfirmed(Job job, double stepS, int maxSteps) {
    runUntil(() -> cluster.rules().isCancelConfirmed(job.id()), stepS, maxSteps);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()), "the cancel is confirmed");
  }

  /** Goes on in steps of simulated time while the condition is false, so many steps at most. */
  protected void runUntil(BooleanSupplier condition, double stepS, int maxSteps) {
    for (int i = 0; i < maxSteps && !condition.getAsBoolean(); i++) {
      cluster.run(stepS);
    }
  }

  protected void assertAllEnded(List<Job> jobs) {
    for (Job job : jobs) {
      assertTrue(cluster.rules().hasEnded(job.id()), job.id() + " has an end");
    }
  }

  protected List<Endpoint> controllerAddresses() {
    return cluster.nodes().stream().map(SimulatedController::address).toList();
  }

  protected static String host(FakeWorker worker) {
    return worker.machine().host();
  }
}
