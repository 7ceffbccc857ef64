package io.cherryspool.sim.cluster;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.time.Instant;

/**
 * Creates jobs with unique ids. Unless a method states otherwise, the jobs have normal priority,
 * may run on any machine in any zone, including spot instances, and save no checkpoints.
 */
public final class JobFactory {
  private int jobCount;

  /**
   * Creates a job of {@code tasks} tasks, each of which runs for {@code runTime} plus up to 4 s.
   */
  public Job create(String team, int tasks, double cpus, Duration runTime) {
    return create(team, Priority.NORMAL, tasks, cpus, runTime, null, false);
  }

  /** Creates a job with high priority. */
  public Job createHighPriority(String team, int tasks, double cpus, Duration runTime) {
    return create(team, Priority.HIGH, tasks, cpus, runTime, null, false);
  }

  /**
   * Creates a job whose tasks must all run in a given zone, or all in one zone that the cluster
   * selects.
   *
   * @param zone the only zone in which its tasks may run; null for any zone
   * @param requiresSingleZone whether all its tasks must run in the same zone
   */
  public Job createZoneBound(
      String team,
      int tasks,
      double cpus,
      Duration runTime,
      String zone,
      boolean requiresSingleZone) {
    return create(team, Priority.NORMAL, tasks, cpus, runTime, zone, requiresSingleZone);
  }

  private Job create(
      String team,
      Priority priority,
      int tasks,
      double cpus,
      Duration runTime,
      String zone,
      boolean requiresSingleZone) {
    return new Job(
        nextId(),
        "lane",
        team,
        priority,
        tasks,
        new Resources(cpus, 0, Math.min(4, 4 * cpus)),
        "img-0",
        1,
        null,
        zone,
        requiresSingleZone,
        false,
        true,
        // Fake workers run a task for half of the estimated run time plus up to 4 s.
        runTime.multipliedBy(2),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  /** Returns an id for a new job. */
  String nextId() {
    return String.format("req-%06d", ++jobCount);
  }
}
