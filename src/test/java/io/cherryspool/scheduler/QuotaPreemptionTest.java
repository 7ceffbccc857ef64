package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static io.cherryspool.scheduler.QuotaFixture.BEFORE_PROMOTION_SECONDS;
import static io.cherryspool.scheduler.QuotaFixture.TYPE;
import static io.cherryspool.scheduler.QuotaFixture.idleMachine;
import static io.cherryspool.scheduler.QuotaFixture.job;
import static io.cherryspool.scheduler.QuotaFixture.machine;
import static io.cherryspool.scheduler.QuotaFixture.placedCount;
import static io.cherryspool.scheduler.QuotaFixture.plan;
import static io.cherryspool.scheduler.QuotaFixture.running;
import static io.cherryspool.scheduler.QuotaFixture.withRequiredZone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that tasks are preempted for lack of team quota only if the pending task can run then. */
class QuotaPreemptionTest {
  /** The quota of an urgent task must not be used up by others while its machine is made free. */
  @Test
  void taskKeepsItsQuotaWhileOthersArePreemptedForIt() {
    Job urgent = withRequiredZone("b", job("req-000001", Priority.HIGH, 1, 16));
    Job low = job("req-000002", Priority.LOW, 1, 16);
    Job normal = job("req-000003", Priority.NORMAL, 1, 16);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
            List.of(notStarted(urgent), notStarted(normal)),
            List.of(
                machine("m1", "b", Resources.NONE, List.of(running(low, 0))),
                idleMachine("m2", "a")),
            new Team("red", 0, 32, 0, 0),
            Map.of("red", low.perTask()));
    assertEquals(1, plan.victims().size());
    assertEquals(0, placedCount(plan, normal));
  }

  /**
   * Preemption would stop a task of the team for nothing, since the urgent task would still lack a
   * machine.
   */
  @Test
  void nothingIsPreemptedForQuotaIfThePendingTaskHasNoRoom() {
    Job urgent = withRequiredZone("b", job("req-000001", Priority.HIGH, 1, 8));
    Job other = job("req-000002", Priority.HIGH, 1, 14);
    Job normal = job("req-000003", Priority.NORMAL, 1, 2);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
            List.of(notStarted(urgent)),
            List.of(
                machine("m1", "b", Resources.NONE, List.of(running(other, 0), running(normal, 0)))),
            new Team("red", 0, 22, 0, 0),
            Map.of("red", new Resources(16, 0, 16)));
    assertEquals(List.of(), plan.victims());
  }

  /** An urgent task with room on a machine needs quota that its team uses in another zone. */
  @Test
  void taskIsPreemptedForQuotaInAnotherZoneThanThePendingTasks() {
    Job urgent = withRequiredZone("b", job("req-000001", Priority.HIGH, 1, 8));
    Job normal = job("req-000002", Priority.NORMAL, 1, 8);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
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

  /**
   * An urgent job for which preemption cannot make room must not cause other work of its team to be
   * stopped and restarted again and again.
   */
  @Test
  void jobWithoutAchievableRoomDoesNotPreemptInEveryOtherRound() {
    Job urgent = withRequiredZone("b", job("req-000001", Priority.HIGH, 1, 12));
    Job normal = withRequiredZone("b", job("req-000002", Priority.NORMAL, 1, 4));
    Job other = job("req-000003", Priority.HIGH, 1, 12);
    boolean isRunning = false;
    int victims = 0;
    for (int round = 0; round < 40; round++) {
      List<RunningTask> runningTasks = new ArrayList<>(List.of(running(other, 0)));
      List<JobView> waiting = new ArrayList<>(List.of(notStarted(urgent)));
      if (isRunning) {
        runningTasks.add(running(normal, 0));
      } else {
        waiting.add(notStarted(normal));
      }
      Resources used = other.perTask().plus(isRunning ? normal.perTask() : Resources.NONE);
      RoundPlan plan =
          plan(
              BEFORE_PROMOTION_SECONDS,
              waiting,
              List.of(machine("m1", "b", TYPE.capacity().minus(used), runningTasks)),
              new Team("red", 0, 26, 0, 0),
              Map.of("red", used));
      isRunning = (isRunning || placedCount(plan, normal) == 1) && plan.victims().isEmpty();
      victims += plan.victims().size();
    }
    assertEquals(0, victims);
    assertTrue(isRunning, "the normal task runs in the room that is too small for the urgent task");
  }
}
