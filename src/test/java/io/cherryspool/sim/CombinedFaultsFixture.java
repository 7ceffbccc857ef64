package io.cherryspool.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.Job;
import java.time.Duration;
import java.util.List;

/** What the tests share that bring two troubles together on purpose. */
abstract class CombinedFaultsFixture {
  static final Duration LONG = Duration.ofSeconds(120);

  Cluster cluster;

  /** A cluster whose leader is well settled. */
  void settle(long seed, int controllers) {
    cluster = Cluster.of(seed, controllers);
    cluster.run(25);
  }

  Job submit(String team, int tasks, double cpus, Duration run) {
    Job job = cluster.job(team, tasks, cpus, run);
    cluster.users().submit(job);
    return job;
  }

  /** Goes on until so many tasks of the job run, for a minute at most. */
  void awaitRunning(Job job, int tasks) {
    for (int i = 0; i < 600 && cluster.runningTasks(job) < tasks; i++) {
      cluster.run(0.1);
    }
    assertTrue(cluster.runningTasks(job) >= tasks, job.id() + " runs");
  }

  void allEnd(List<Job> jobs) {
    for (Job job : jobs) {
      assertTrue(cluster.rules().ended(job.id()), job.id() + " has an end");
    }
  }

  List<Endpoint> addresses() {
    return cluster.nodes().stream().map(ControllerNode::address).toList();
  }

  static String host(StandInWorker worker) {
    return worker.machine().host;
  }
}
