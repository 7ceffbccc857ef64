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
 * Creates views of clusters with one team for tests. The team is not within its guaranteed quota,
 * no job was unschedulable in the previous round, and the service-level objectives measure no
 * multiples of deadlines.
 */
final class ClusterFixture {
  /** The team of all jobs, without a quota limit. */
  static final Team TEAM_WITHOUT_QUOTA = new Team("red", 0, 0, 0, 0);

  private ClusterFixture() {}

  /**
   * Returns a view in which the wall clock and the monotonic clock show the same time.
   *
   * @param nowSeconds the time of both clocks, in seconds; the wall clock counts from the epoch
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

  /** Returns a view of a job of which no task was ever started. */
  static JobView notStarted(Job job) {
    return new JobView(job, pendingTasks(0, job.taskCount()), Map.of(), 0, false);
  }

  /**
   * Returns pending tasks that were never started, with the indices from {@code first} inclusive to
   * {@code end} exclusive.
   */
  static List<PendingTask> pendingTasks(int first, int end) {
    List<PendingTask> tasks = new ArrayList<>();
    for (int index = first; index < end; index++) {
      tasks.add(new PendingTask(index, 0, 0, null));
    }
    return tasks;
  }

  /** Returns an on-demand instance in zone a, without images, that runs only these tasks. */
  static MachineView machine(String name, MachineType type, List<RunningTask> runningTasks) {
    Resources free = type.capacity();
    for (RunningTask task : runningTasks) {
      free = free.minus(task.job().perTask());
    }
    return machine(name, type, free, runningTasks);
  }

  /** Returns an on-demand instance in zone a, without images, with these free resources. */
  static MachineView machine(
      String name, MachineType type, Resources free, List<RunningTask> runningTasks) {
    return new MachineView(name, type, "a", false, false, free, Set.of(), Set.of(), runningTasks);
  }
}
