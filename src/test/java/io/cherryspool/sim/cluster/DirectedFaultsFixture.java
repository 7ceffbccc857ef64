package io.cherryspool.sim.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** The base class of tests that inject specific faults into a simulated cluster at chosen times. */
public abstract class DirectedFaultsFixture {
  /** The run time of tasks that run for longer than the faults last. */
  protected static final Duration LONG_RUN_TIME = Duration.ofMinutes(2);

  private static final double SETTLE_TIME_S = 25;
  private static final int RUNNING_TIMEOUT_S = 60;

  /**
   * The cluster under test. Set by {@link #startCluster}, or by a test that needs a different
   * cluster.
   */
  protected SimulatedCluster cluster;

  /** A job that is expected to complete, and a job that the test cancels. */
  protected record TwoJobs(Job kept, Job cancelled) {
    public List<Job> all() {
      return List.of(kept, cancelled);
    }
  }

  /**
   * Starts a cluster and runs it for {@value #SETTLE_TIME_S} s, so that it has a leader and
   * machines.
   */
  protected void startCluster(long seed, int controllers) {
    cluster = SimulatedCluster.of(seed, controllers);
    cluster.run(SETTLE_TIME_S);
  }

  protected Job submit(String team, int tasks, double cpus, Duration runTime) {
    Job job = cluster.jobs().create(team, tasks, cpus, runTime);
    cluster.users().submit(job);
    return job;
  }

  /**
   * Starts a cluster of three controllers, submits a job, and waits until at least {@code
   * minRunning} of its tasks run.
   */
  protected Job startClusterWithJob(long seed, int tasks, Duration runTime, int minRunning) {
    startCluster(seed, 3);
    Job job = submit("blue", tasks, 4, runTime);
    awaitRunning(job, minRunning);
    return job;
  }

  /**
   * Starts a cluster as {@link #startClusterWithJob} does, and submits a second job of eight
   * long-running tasks, which the test cancels.
   */
  protected TwoJobs startClusterWithTwoJobs(
      long seed, int tasks, Duration runTime, int minRunning) {
    startCluster(seed, 3);
    Job kept = submit("blue", tasks, 4, runTime);
    Job cancelled = submit("red", 8, 4, LONG_RUN_TIME);
    awaitRunning(kept, minRunning);
    return new TwoJobs(kept, cancelled);
  }

  /**
   * Runs the cluster until at least the given number of tasks of the job run. Fails after 60 s of
   * simulated time.
   */
  protected void awaitRunning(Job job, int tasks) {
    runUntil(() -> cluster.fleet().runningTaskCount(job) >= tasks, 0.1, 10 * RUNNING_TIMEOUT_S);
    assertTrue(cluster.fleet().runningTaskCount(job) >= tasks, job.id() + " runs too few tasks");
  }

  /**
   * Runs the cluster until a node other than the given one is leader. Fails after 10 s of simulated
   * time.
   */
  protected SimulatedController awaitLeaderOtherThan(SimulatedController node, double stepS) {
    runUntil(() -> cluster.leaderOtherThan(node).isPresent(), stepS, (int) Math.round(10 / stepS));
    Optional<SimulatedController> next = cluster.leaderOtherThan(node);
    assertTrue(next.isPresent(), "no other node was elected within 10 s");
    return next.orElseThrow();
  }

  /**
   * Runs the cluster until a user has received the confirmation of the cancel. Fails after {@code
   * maxSteps} steps.
   */
  protected void awaitCancelConfirmed(Job job, double stepS, int maxSteps) {
    runUntil(() -> cluster.rules().isCancelConfirmed(job.id()), stepS, maxSteps);
    assertTrue(cluster.rules().isCancelConfirmed(job.id()), "the cancel was not confirmed in time");
  }

  /**
   * Runs the cluster in steps of {@code stepS} seconds until the condition is true, for at most
   * {@code maxSteps} steps.
   */
  protected void runUntil(BooleanSupplier condition, double stepS, int maxSteps) {
    for (int i = 0; i < maxSteps && !condition.getAsBoolean(); i++) {
      cluster.run(stepS);
    }
  }

  protected void assertAllEnded(List<Job> jobs) {
    for (Job job : jobs) {
      assertTrue(cluster.rules().hasEnded(job.id()), job.id() + " has not ended");
    }
  }

  protected List<Endpoint> controllerAddresses() {
    return cluster.nodes().stream().map(SimulatedController::address).toList();
  }

  protected static String host(FakeWorker worker) {
    return worker.machine().host();
  }
}
