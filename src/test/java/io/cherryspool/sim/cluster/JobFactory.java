package io.cherryspool.sim.cluster;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.time.Instant;

/**
 * Makes jobs with ids of their own. Unless a method says otherwise they run on any machine of any
 * zone, spot instances too, at normal priority, and save no checkpoints.
 */
public final class JobFactory {
  private int jobCount;

  /** A job of so many tasks, each of which runs for so long and up to 4 s more. */
  public Job create(String team, int tasks, double cpus, Duration runTime) {
    return create(team, Priority.NORMAL, tasks, cpus, runTime, null, false);
  }

  /** A job that goes before others. */
  public Job createHighPriority(String team, int tasks, double cpus, Duration runTime) {
    return create(team, Priority.HIGH, tasks, cpus, runTime, null, false);
  }

  /**
   * A job that is bound to a zone.
   *
   * @param zone the only zone in which it may run, null for any
   * @param oneZone whether all its tasks must run in the same zone
   */
  public Job createZoneBound(
      String team, int tasks, double cpus, Duration runTime, String zone, boolean oneZone) {
    return create(team, Priority.NORMAL, tasks, cpus, runTime, zone, oneZone);
  }

  private Job create(
      String team,
      Priority priority,
      int tasks,
      double cpus,
      Duration runTime,
      String zone,
      boolean oneZone) {
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
        oneZone,
        false,
        true,
        // Fake workers run a task for half of the estimate and up to 4 s more.
        runTime.multipliedBy(2),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  /** The id of one more job. */
  String nextId() {
    return String.format("req-%06d", ++jobCount);
  }
}
