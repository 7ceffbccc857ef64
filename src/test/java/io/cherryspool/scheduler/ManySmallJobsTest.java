package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.TEAM_WITHOUT_QUOTA;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests that hundreds of jobs with one task each neither make planning expensive nor delay urgent
 * work.
 */
class ManySmallJobsTest {
  private static final int SMALL_JOBS = 700;
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(150);
  private static final MachineType TYPE =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 1, 1, 0.5, Duration.ofSeconds(50), List.of("a"));

  private final List<JobView> jobs = new ArrayList<>();
  private final List<MachineView> machines = new ArrayList<>();

  private static Job smallTasks(String id, int taskCount) {
    return JobFixture.job(id, Priority.LOW, taskCount, 0.25);
  }

  private void addSmallJobs() {
    for (int i = 0; i < SMALL_JOBS; i++) {
      jobs.add(ClusterFixture.notStarted(smallTasks(String.format("req-%06d", i), 1)));
    }
  }

  private void addMachine(int runningTasks, Job job) {
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < runningTasks; i++) {
      TaskId task = new TaskId(job.id(), 1000 + machines.size() * 100 + i);
      running.add(new RunningTask(task, job, Duration.ZERO, false));
    }
    machines.add(ClusterFixture.machine("host-" + machines.size(), TYPE, running));
  }

  private RoundPlan plan(int now) {
    return PlacementPlanner.plan(
        ClusterFixture.view(
            now, MAX_START_DELAY, jobs, machines, TEAM_WITHOUT_QUOTA, Map.of(), TYPE));
  }

  /**
   * Guards against examining all machines for each job. A round with 700 jobs and 400 machines once
   * made 220,057 examinations and took 140 ms on a quarter of a core.
   */
  @Test
  void planningCostDependsOnPlacedTasksNotOnWaitingJobs() {
    addSmallJobs();
    Job array = smallTasks("req-900000", 25_000);
    jobs.add(new JobView(array, ClusterFixture.pendingTasks(0, 512), Map.of(), 0, true));
    for (int i = 0; i < 400; i++) {
      addMachine(i % 2 == 0 ? 60 : 0, array);
    }
    RoundPlan plan = plan(20);
    assertEquals(1212, plan.assignments().size());
    assertTrue(plan.machinesExamined() < 4_000, "machines examined: " + plan.machinesExamined());
  }

  /**
   * Hundreds of small jobs once exceeded the maximum start delay in the same minute, and were all
   * placed before urgent work.
   */
  @Test
  void onlyOneOfManyEqualLateJobsIsPromoted() {
    addSmallJobs();
    Job urgent = JobFixture.job("req-900000", Priority.HIGH, 40, 1);
    jobs.add(ClusterFixture.notStarted(urgent));
    addMachine(0, null);
    RoundPlan plan = plan(160);
    long urgentTasks =
        plan.assignments().stream().filter(item -> item.jobId().equals(urgent.id())).count();
    assertEquals("req-000000", plan.assignments().get(0).jobId(), "one late job is promoted");
    assertEquals(
        15,
        urgentTasks,
        "urgent work gets all 16 CPUs except the one that the promoted task is on");
  }
}
