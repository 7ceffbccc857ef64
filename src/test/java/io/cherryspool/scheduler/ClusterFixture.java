package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.PendingTask;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Clusters of one team for tests, all of whose use is beyond its guaranteed quota: nothing was
 * unschedulable before, and the service-level objectives measure no multiples of deadlines.
 */
final class ClusterFixture {
  /** The team of all jobs, without a quota. */
  static final Team UNBOUNDED_TEAM = new Team("red", 0, 0, 0, 0);

  private ClusterFixture() {}

  /**
   * A cluster in which both clocks show the same.
   *
   * @param nowSeconds the time of day since the epoch, and the steady clock's time
   */
  static ClusterView view(
      int nowSeconds,
      Duration maxStartDelay,
      List<JobView> jobs,
      List<MachineView> machines,
      Team team,
      Map<String, Resources> usageByTeam,
      MachineType... catalog) {
    return new ClusterView(
        Instant.EPOCH.plusSeconds(nowSeconds),
        Duration.ofSeconds(nowSeconds),
        maxStartDelay,
        jobs,
        machines,
        Map.of(team.name(), team),
        usageByTeam,
        Map.of(),
        Set.of(),
        List.of(catalog),
        List.of(),
        Map.of());
  }

  /** A job of which no task was ever started. */
  static JobView notStarted(Job job) {
    return new JobView(job, pendingTasks(0, job.taskCount()), Map.of(), 0, false);
  }

  /** First attempts of the tasks from the first to the last, which is not included. */
  static List<PendingTask> pendingTasks(int first, int end) {
    List<PendingTask> tasks = new ArrayList<>();
    for (int index = first; index < end; index++) {
      tasks.add(new PendingTask(index, 0, 0, null));
    }
    return tasks;
  }

  /** An ordinary instance in zone a, without images, that runs these tasks alone. */
  static MachineView machine(String name, MachineType type, List<RunningTask> runningTasks) {
    Resources free = type.capacity();
    for (RunningTask task : runningTasks) {
      free = free.minus(task.job().perTask());
    }
    return machine(name, type, free, runningTasks);
  }

  /** An ordinary instance in zone a, without images, with these free resources. */
  static MachineView machine(
      String name, MachineType type, Resources free, List<RunningTask> runningTasks) {
    return new MachineView(name, type, "a", false, false, free, Set.of(), Set.of(), runningTasks);
  }
}
