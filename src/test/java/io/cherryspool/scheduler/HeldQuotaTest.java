package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static org.junit.jupiter.api.Assertions.assertEquals;

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
import org.junit.jupiter.api.Test;

/**
 * Who holds a team's quota. A job once waited for minutes beside idle machines, with its team far
 * below its quota: tasks that come before it in the queue and lack a machine were charged as if
 * they ran. Seen in seed 9 of {@code RandomVerdictsTest}: blue used 10 of 96 CPUs, 9 of 11 machines
 * were idle, and the log said {@code round: job=req-000060 promoted=false placed=0 over-quota=4
 * unschedulable=0} in each round of 90 s, beside {@code round: job=req-000058 promoted=false
 * placed=0 over-quota=0 unschedulable=6 cause=no-machine}.
 */
class HeldQuotaTest {
  private static final MachineType TYPE =
      new MachineType(
          "box",
          new Resources(16, 2, 64),
          50,
          1,
          1,
          0.5,
          Duration.ofSeconds(50),
          List.of("a", "b"));

  private static final Duration MAX_START_DELAY = Duration.ofSeconds(150);
  private static final int BEFORE_PROMOTION_S = 100;
  private static final int AFTER_PROMOTION_S = 200;

  /** A job that may run in one zone only. */
  private static Job boundTo(String zone, Job job) {
    return new Job(
        job.id(),
        job.jobClass(),
        job.team(),
        job.priority(),
        job.taskCount(),
        job.perTask(),
        job.image(),
        job.imageGb(),
        null,
        zone,
        false,
        false,
        true,
        job.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        null,
        job.submittedAt());
  }

  private static Job job(String id, Priority priority, int tasks, double cpus) {
    return JobFixture.job(id, priority, tasks, cpus);
  }

  private static MachineView machine(
      String name, String zone, Resources free, List<RunningTask> runningTasks) {
    return new MachineView(name, TYPE, zone, false, false, free, Set.of(), Set.of(), runningTasks);
  }

  private static MachineView idleMachine(String name, String zone) {
    return machine(name, zone, TYPE.capacity(), List.of());
  }

  private static RunningTask running(Job job, int index) {
    return new RunningTask(new TaskId(job.id(), index), job, Duration.ZERO, false);
  }

  private static RoundPlan plan(
      int nowSeconds,
      List<JobView> jobs,
      List<MachineView> machines,
      Team team,
      Map<String, Resources> usage) {
    return Placement.plan(
        ClusterFixture.view(nowSeconds, MAX_START_DELAY, jobs, machines, team, usage, TYPE));
  }

  private static long placed(RoundPlan plan, Job job) {
    return plan.assignments().stream().filter(item -> item.jobId().equals(job.id())).count();
  }

  @Test
  void tasksWithoutAMachineHoldNoQuota() {
    Job bound = boundTo("b", job("req-000001", Priority.NORMAL, 6, 4));
    Job free = job("req-000002", Priority.NORMAL, 5, 4);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(bound), notStarted(free)),
            List.of(idleMachine("m1", "a"), idleMachine("m2", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of());
    assertEquals(5, placed(plan, free));
  }

  @Test
  void tasksWithoutAMachineHoldNoGpus() {
    Job base = boundTo("b", job("req-000001", Priority.HIGH, 1, 1));
    Resources gpus = new Resources(1, 2, 1);
    Job bound = withResources(base, gpus);
    Job free = withResources(job("req-000002", Priority.NORMAL, 1, 1), gpus);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(bound), notStarted(free)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 0, 0, 2),
            Map.of());
    assertEquals(1, placed(plan, free));
  }

  private static Job withResources(Job job, Resources perTask) {
    return new Job(
        job.id(),
        job.jobClass(),
        job.team(),
        job.priority(),
        job.taskCount(),
        perTask,
        job.image(),
        job.imageGb(),
        null,
        job.requiredZone(),
        false,
        false,
        true,
        job.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        null,
        job.submittedAt());
  }

  /** No machine of its zone is there that its team's other tasks could leave to it. */
  @Test
  void aPromotedTaskWithoutAnyMachineOfItsZoneHoldsNoQuota() {
    Job bound = boundTo("b", job("req-000001", Priority.NORMAL, 1, 8));
    Job free = boundTo("a", job("req-000002", Priority.NORMAL, 2, 4));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_S,
            List.of(
                notStarted(bound),
                new JobView(free, ClusterFixture.pendingTasks(0, 2), Map.of(), 0, true)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 8, 0, 0),
            Map.of());
    assertEquals(2, placed(plan, free));
  }

  /** As before, but the team has used up its quota, so that the promoted task waits for some. */
  @Test
  void aPromotedTaskOverQuotaWithoutAnyMachineOfItsZoneHoldsNoQuota() {
    Job bound = boundTo("b", job("req-000001", Priority.NORMAL, 1, 8));
    Job free = boundTo("a", job("req-000002", Priority.NORMAL, 2, 4));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_S,
            List.of(
                notStarted(bound),
                new JobView(free, ClusterFixture.pendingTasks(0, 2), Map.of(), 0, true)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 12, 0, 0),
            Map.of("red", new Resources(8, 0, 8)));
    assertEquals(1, placed(plan, free));
  }

  /** The largest jobs would not begin: smaller ones take each part of the quota that falls free. */
  @Test
  void aPromotedTaskKeepsTheQuotaForAMachineThatFallsFree() {
    Job large = job("req-000001", Priority.NORMAL, 1, 16);
    Job small = job("req-000002", Priority.NORMAL, 8, 2);
    Job filler = job("req-000003", Priority.NORMAL, 1, 2);
    MachineView nearlyIdle =
        machine("m1", "a", new Resources(14, 2, 62), List.of(running(filler, 0)));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_S,
            List.of(
                notStarted(large),
                new JobView(small, ClusterFixture.pendingTasks(0, 8), Map.of(), 0, true)),
            List.of(nearlyIdle, machine("m2", "a", new Resources(8, 2, 32), List.of())),
            new Team("red", 0, 20, 0, 0),
            Map.of("red", new Resources(2, 0, 2)));
    assertEquals(1, placed(plan, small), "what the quota of 20 leaves beside 16 and 2");
  }

  /** An urgent task that is about to get a machine must not find its quota used up. */
  @Test
  void aTaskForWhichOthersArePreemptedKeepsItsQuota() {
    Job urgent = boundTo("b", job("req-000001", Priority.HIGH, 1, 16));
    Job low = job("req-000002", Priority.LOW, 1, 16);
    Job normal = job("req-000003", Priority.NORMAL, 1, 16);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(urgent), notStarted(normal)),
            List.of(
                machine("m1", "b", Resources.NONE, List.of(running(low, 0))),
                idleMachine("m2", "a")),
            new Team("red", 0, 32, 0, 0),
            Map.of("red", low.perTask()));
    assertEquals(1, plan.victims().size());
    assertEquals(0, placed(plan, normal));
  }

  /** Its team's task would be stopped, and the urgent one would still lack a machine. */
  @Test
  void noTaskIsPreemptedForQuotaThatCannotBeUsed() {
    Job urgent = boundTo("b", job("req-000001", Priority.HIGH, 1, 8));
    Job other = job("req-000002", Priority.HIGH, 1, 14);
    Job normal = job("req-000003", Priority.NORMAL, 1, 2);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(urgent)),
            List.of(
                machine("m1", "b", Resources.NONE, List.of(running(other, 0), running(normal, 0)))),
            new Team("red", 0, 22, 0, 0),
            Map.of("red", new Resources(16, 0, 16)));
    assertEquals(List.of(), plan.victims());
  }

  /** Room alone does not help an urgent task if its team's quota is used up in another zone. */
  @Test
  void quotaIsFreedOnAnyMachineWhereTheUrgentTaskHasRoom() {
    Job urgent = boundTo("b", job("req-000001", Priority.HIGH, 1, 8));
    Job normal = job("req-000002", Priority.NORMAL, 1, 8);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(urgent)),
            List.of(
                machine("m1", "a", new Resources(8, 2, 56), List.of(running(normal, 0))),
                idleMachine("m2", "b")),
            new Team("red", 0, 8, 0, 0),
            Map.of("red", normal.perTask()));
    assertEquals(
        List.of(new TaskId("req-000002", 0)),
        plan.victims().stream().map(RoundPlan.Victim::task).toList());
  }
}
