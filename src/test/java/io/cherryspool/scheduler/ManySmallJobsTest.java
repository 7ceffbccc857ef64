package io.cherryspool.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.PendingTask;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guests: hundreds of jobs with one task each, and one array of 25,000. */
class ManySmallJobsTest {
  private static final MachineType BOX =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 1, 1, 0.5, Duration.ofSeconds(50), List.of("a"));

  private final List<JobView> jobs = new ArrayList<>();
  private final List<MachineView> machines = new ArrayList<>();

  private static Job guest(String id, int tasks) {
    return JobFixture.job(id, Priority.LOW, tasks, 0.25);
  }

  private void waiting(Job job, int free, boolean begun) {
    List<PendingTask> tasks = new ArrayList<>();
    for (int i = 0; i < free; i++) {
      tasks.add(new PendingTask(i, 0, 0, null));
    }
    jobs.add(new JobView(job, tasks, Map.of(), 0, begun));
  }

  private void machine(int used, Job by) {
    List<RunningTask> running = new ArrayList<>();
    Resources free = BOX.capacity();
    for (int i = 0; i < used; i++) {
      TaskId task = new TaskId(by.id(), 1000 + machines.size() * 100 + i);
      running.add(new RunningTask(task, by, Duration.ZERO, false));
      free = free.minus(by.perTask());
    }
    String name = "host-" + machines.size();
    machines.add(new MachineView(name, BOX, "a", false, false, free, Set.of(), Set.of(), running));
  }

  private RoundPlan plan(int now) {
    return Placement.plan(
        ClusterFixture.of(
            now,
            now,
            Duration.ofSeconds(150),
            jobs,
            machines,
            new Team("red", 0, 0, 0, 0),
            Map.of(),
            BOX));
  }

  /**
   * 700 jobs looked at 400 machines each, and a round cost 140 ms of a quarter core. Where each job
   * looks at all machines this test says that 220,057 were looked at.
   */
  @Test
  void aPlanCostsWhatIsPlacedAndNotWhatWaits() {
    for (int i = 0; i < 700; i++) {
      waiting(guest(String.format("req-%06d", i), 1), 1, false);
    }
    waiting(guest("req-900000", 25_000), 512, true);
    for (int i = 0; i < 400; i++) {
      machine(i % 2 == 0 ? 60 : 0, guest("req-900000", 25_000));
    }
    RoundPlan plan = plan(20);
    assertEquals(1212, plan.assignments().size());
    assertTrue(
        plan.machinesExamined() < 4_000, plan.machinesExamined() + " machines were looked at");
  }

  /** Each became older than begin-within in the same minute, and all went before urgent work. */
  @Test
  void aSwarmThatGrowsOldGoesBeforeUrgentWorkOneAtATime() {
    for (int i = 0; i < 700; i++) {
      waiting(guest(String.format("req-%06d", i), 1), 1, false);
    }
    waiting(JobFixture.job("req-900000", Priority.HIGH, 40, 1), 40, false);
    machine(0, null);
    RoundPlan plan = plan(160);
    long guests =
        plan.assignments().stream().filter(item -> !item.jobId().equals("req-900000")).count();
    // One aged guest goes first; the room is 16, so that urgent work has all but its place.
    assertEquals("req-000000", plan.assignments().get(0).jobId());
    assertEquals(15, plan.assignments().size() - guests, "all the room but one place: " + guests);
  }
}
