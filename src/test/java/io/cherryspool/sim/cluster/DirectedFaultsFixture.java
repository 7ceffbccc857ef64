package io.cherryspool.sim.cluster;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.List;

/** What the tests share that bring two troubles together on purpose. */
public abstract class DirectedFaultsFixture {
  public static final Duration LONG = Duration.ofSeconds(120);

  public SimulatedCluster cluster;

  /** A cluster whose leader is well settled. */
  public void settle(long seed, int controllers) {
    cluster = SimulatedCluster.of(seed, controllers);
    cluster.run(25);
  }

  public Job submit(String team, int tasks, double cpus, Duration run) {
    Job job = cluster.jobs().create(team, tasks, cpus, run);
    cluster.users().submit(job);
    return job;
  }

  /** Goes on until so many tasks of the job run, for a minute at most. */
  public void awaitRunning(Job job, int tasks) {
    for (int i = 0; i < 600 && cluster.fleet().runningTaskCount(job) < tasks; i++) {
      cluster.run(0.1);
    }
    assertTrue(cluster.fleet().runningTaskCount(job) >= tasks, job.id() + " runs");
  }

  public void allEnd(List<Job> jobs) {
    for (Job job : jobs) {
      assertTrue(cluster.rules().hasEnded(job.id()), job.id() + " has an end");
    }
  }

  public List<Endpoint> addresses() {
    return cluster.nodes().stream().map(SimulatedController::address).toList();
  }

  public static String host(FakeWorker worker) {
    return worker.machine().host();
  }
}
