package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Creates plans for one team with a quota, on machines in two zones. */
final class QuotaFixture {
  static final MachineType TYPE =
      new MachineType(
          "box",
          new Resources(16, 2, 64),
          50,
          1,
          1,
          0.5,
          Duration.ofSeconds(50),
          List.of("a", "b"));

  static final Duration MAX_START_DELAY = Duration.ofSeconds(150);
  static final int BEFORE_PROMOTION_S = 100;
  static final int AFTER_PROMOTION_S = 200;

  /** Returns a copy of the job that may run only in this zone. */
  static Job withRequiredZone(String zone, Job job) {
    return JobFixture.builderFrom(job).withRequiredZone(zone).build();
  }

  static Job job(String id, Priority priority, int tasks, double cpus) {
    return JobFixture.job(id, priority, tasks, cpus);
  }

  static MachineView machine(
      String name, String zone, Resources free, List<RunningTask> runningTasks) {
    return new MachineView(name, TYPE, zone, false, false, free, Set.of(), Set.of(), runningTasks);
  }

  static MachineView idleMachine(String name, String zone) {
    return machine(name, zone, TYPE.capacity(), List.of());
  }

  static RunningTask running(Job job, int index) {
    return new RunningTask(new TaskId(job.id(), index), job, Duration.ZERO, false);
  }

  static RoundPlan plan(
      int nowSeconds,
      List<JobView> jobs,
      List<MachineView> machines,
      Team team,
      Map<String, Resources> usage) {
    return PlacementPlanner.plan(
        ClusterFixture.view(nowSeconds, MAX_START_DELAY, jobs, machines, team, usage, TYPE));
  }

  static long placedCount(RoundPlan plan, Job job) {
    return plan.assignments().stream().filter(item -> item.jobId().equals(job.id())).count();
  }

  static Job withResources(Job job, Resources perTask) {
    return JobFixture.builderFrom(job).withResources(perTask).build();
  }

  static ClusterView withLentUsage(ClusterView view, Resources lent) {
    return new ClusterView(
        view.now(),
        view.monotonicNow(),
        view.maxStartDelay(),
        view.jobs(),
        view.machines(),
        view.teams(),
        view.usageByTeam(),
        Map.of("red", lent),
        view.teamsWithinGuarantee(),
        view.catalog(),
        view.previouslyUnschedulable(),
        view.deadlineMultiples());
  }

  private QuotaFixture() {}
}
