package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static io.cherryspool.scheduler.QuotaFixture.AFTER_PROMOTION_SECONDS;
import static io.cherryspool.scheduler.QuotaFixture.BEFORE_PROMOTION_SECONDS;
import static io.cherryspool.scheduler.QuotaFixture.idleMachine;
import static io.cherryspool.scheduler.QuotaFixture.job;
import static io.cherryspool.scheduler.QuotaFixture.machine;
import static io.cherryspool.scheduler.QuotaFixture.placedCount;
import static io.cherryspool.scheduler.QuotaFixture.plan;
import static io.cherryspool.scheduler.QuotaFixture.running;
import static io.cherryspool.scheduler.QuotaFixture.withRequiredZone;
import static io.cherryspool.scheduler.QuotaFixture.withResources;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests for which waiting tasks the quota of a team is reserved. They guard against a job that
 * waits for minutes although machines are idle and its team is far below its quota: quota was once
 * reserved for all earlier tasks in the queue without a machine, as if they ran.
 *
 * <p>Observed with seed 9 of {@code RandomVerdictsTest}: team blue used 10 of 96 CPUs and 9 of 11
 * machines were idle, but for 90 s each round logged {@code round: job=req-000060 promoted=false
 * placed=0 over-quota=4 unschedulable=0}, and {@code round: job=req-000058 promoted=false placed=0
 * over-quota=0 unschedulable=6 cause=no-machine} for the earlier tasks.
 */
class QuotaReservationTest {
  @Test
  void tasksWithoutMachineReserveNoQuota() {
    Job zoneBound = withRequiredZone("b", job("req-000001", Priority.NORMAL, 6, 4));
    Job later = job("req-000002", Priority.NORMAL, 5, 4);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
            List.of(notStarted(zoneBound), notStarted(later)),
            List.of(idleMachine("m1", "a"), idleMachine("m2", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of());
    assertEquals(5, placedCount(plan, later));
  }

  @Test
  void tasksWithoutMachineReserveNoGpuQuota() {
    Job base = withRequiredZone("b", job("req-000001", Priority.HIGH, 1, 1));
    Resources gpus = new Resources(1, 2, 1);
    Job zoneBound = withResources(base, gpus);
    Job later = withResources(job("req-000002", Priority.NORMAL, 1, 1), gpus);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
            List.of(notStarted(zoneBound), notStarted(later)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 0, 0, 2),
            Map.of());
    assertEquals(1, placedCount(plan, later));
  }

  /** There is no machine in the promoted task's zone that could become free for it. */
  @Test
  void promotedTaskReservesNoQuotaIfItsZoneHasNoMachine() {
    Job zoneBound = withRequiredZone("b", job("req-000001", Priority.NORMAL, 1, 8));
    Job later = withRequiredZone("a", job("req-000002", Priority.NORMAL, 2, 4));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_SECONDS,
            List.of(
                notStarted(zoneBound),
                new JobView(later, ClusterFixture.pendingTasks(0, 2), Map.of(), 0, true)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 8, 0, 0),
            Map.of());
    assertEquals(2, placedCount(plan, later));
  }

  /**
   * The promoted task's zone has no machine, and the team's usage leaves too little quota for the
   * task.
   */
  @Test
  void promotedTaskOverQuotaReservesNoQuotaIfItsZoneHasNoMachine() {
    Job zoneBound = withRequiredZone("b", job("req-000001", Priority.NORMAL, 1, 8));
    Job later = withRequiredZone("a", job("req-000002", Priority.NORMAL, 2, 4));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_SECONDS,
            List.of(
                notStarted(zoneBound),
                new JobView(later, ClusterFixture.pendingTasks(0, 2), Map.of(), 0, true)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 12, 0, 0),
            Map.of("red", new Resources(8, 0, 8)));
    assertEquals(1, placedCount(plan, later));
  }

  /**
   * Without the reservation, smaller jobs would take each part of the quota that becomes free, and
   * the largest jobs would never start.
   */
  @Test
  void promotedTaskReservesQuotaUntilItsMachineIsIdle() {
    Job large = job("req-000001", Priority.NORMAL, 1, 16);
    Job small = job("req-000002", Priority.NORMAL, 8, 2);
    Job filler = job("req-000003", Priority.NORMAL, 1, 2);
    MachineView nearlyIdle =
        machine("m1", "a", new Resources(14, 2, 62), List.of(running(filler, 0)));
    RoundPlan plan =
        plan(
            AFTER_PROMOTION_SECONDS,
            List.of(
                notStarted(large),
                new JobView(small, ClusterFixture.pendingTasks(0, 8), Map.of(), 0, true)),
            List.of(nearlyIdle, machine("m2", "a", new Resources(8, 2, 32), List.of())),
            new Team("red", 0, 20, 0, 0),
            Map.of("red", new Resources(2, 0, 2)));
    assertEquals(
        1,
        placedCount(plan, small),
        "the quota of 20 CPUs leaves 2 beside 16 reserved and 2 used CPUs");
  }
}
