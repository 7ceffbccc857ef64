package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static io.cherryspool.scheduler.QuotaFixture.AFTER_PROMOTION_SECONDS;
import static io.cherryspool.scheduler.QuotaFixture.BEFORE_PROMOTION_SECONDS;
import static io.cherryspool.scheduler.QuotaFixture.MAX_START_DELAY;
import static io.cherryspool.scheduler.QuotaFixture.TYPE;
import static io.cherryspool.scheduler.QuotaFixture.idleMachine;
import static io.cherryspool.scheduler.QuotaFixture.job;
import static io.cherryspool.scheduler.QuotaFixture.placedCount;
import static io.cherryspool.scheduler.QuotaFixture.plan;
import static io.cherryspool.scheduler.QuotaFixture.withLentUsage;
import static io.cherryspool.scheduler.QuotaFixture.withRequiredZone;
import static io.cherryspool.scheduler.QuotaFixture.withResources;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests which tasks are placed on quota lent by tasks without a machine, and that machines are
 * still requested for the latter.
 */
class LentQuotaTest {
  private static final int RANDOM_CLUSTERS = 400;

  /**
   * If a job whose quota is lent were not reported as unschedulable, machines would be requested
   * for it in some rounds only, and it might never get one.
   */
  @Test
  void taskWhoseQuotaIsLentStaysUnschedulable() {
    Job zoneBound = withRequiredZone("b", job("req-000001", Priority.NORMAL, 6, 4));
    Job borrower = job("req-000002", Priority.NORMAL, 6, 4);
    Resources used = borrower.perTask().times(6);
    ClusterView withoutLending =
        ClusterFixture.view(
            BEFORE_PROMOTION_SECONDS,
            MAX_START_DELAY,
            List.of(notStarted(zoneBound)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of("red", used),
            TYPE);
    assertEquals(List.of(), PlacementPlanner.plan(withoutLending).unschedulable());
    assertEquals(
        List.of(new RoundPlan.TaskGroup(zoneBound, 6)),
        PlacementPlanner.plan(withLentUsage(withoutLending, used)).unschedulable());
    assertEquals(
        List.of(new RoundPlan.TaskGroup(zoneBound, 2)),
        PlacementPlanner.plan(withLentUsage(withoutLending, borrower.perTask().times(2)))
            .unschedulable());
  }

  /**
   * The plan marks tasks that run on lent quota, and places no more tasks than the quota allows.
   */
  @Test
  void tasksPlacedOnLentQuotaAreMarked() {
    Job zoneBound = withRequiredZone("b", job("req-000001", Priority.NORMAL, 4, 4));
    Job later = job("req-000002", Priority.NORMAL, 9, 4);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_SECONDS,
            List.of(notStarted(zoneBound), notStarted(later)),
            List.of(idleMachine("m1", "a"), idleMachine("m2", "a"), idleMachine("m3", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of());
    assertEquals(6, placedCount(plan, later));
    assertEquals(
        4, plan.assignments().stream().filter(RoundPlan.Assignment::usesLentQuota).count());
    assertEquals(List.of(new RoundPlan.TaskGroup(zoneBound, 4)), plan.unschedulable());
  }

  /**
   * In any plan, neither the team's usage nor the tasks for which machines are requested exceed the
   * quota.
   */
  @Test
  void randomPlansStayWithinTheQuota() {
    int tasksOnLentQuota = 0;
    for (int seed = 0; seed < RANDOM_CLUSTERS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<JobView> jobs = new ArrayList<>();
      Map<String, Job> jobsById = new HashMap<>();
      for (int i = 0; i < 8; i++) {
        Job job = randomJob("req-00000" + i, random);
        jobsById.put(job.id(), job);
        jobs.add(notStarted(job));
      }
      Team team = new Team("red", 0, 20 + random.nextInt(40), 0, random.nextInt(6));
      Resources owned = new Resources(random.nextInt(20), 0, 0);
      Resources lent = new Resources(owned.cpus() * random.nextInt(2), 0, 0);
      ClusterView view =
          withLentUsage(
              ClusterFixture.view(
                  random.nextBoolean() ? BEFORE_PROMOTION_SECONDS : AFTER_PROMOTION_SECONDS,
                  MAX_START_DELAY,
                  jobs,
                  List.of(idleMachine("m1", "a"), idleMachine("m2", "a"), idleMachine("m3", "a")),
                  team,
                  Map.of("red", owned),
                  TYPE),
              lent);
      RoundPlan plan = PlacementPlanner.plan(view);
      Resources usage = owned;
      for (RoundPlan.Assignment item : plan.assignments()) {
        usage = usage.plus(jobsById.get(item.jobId()).perTask());
        tasksOnLentQuota += item.usesLentQuota() ? 1 : 0;
      }
      assertTrue(team.isWithinQuota(usage), "usage exceeds the quota, seed " + seed);
      Resources needed = owned.minus(lent);
      for (RoundPlan.TaskGroup group : plan.unschedulable()) {
        needed = needed.plus(group.job().perTask().times(group.taskCount()));
      }
      assertTrue(team.isWithinQuota(needed), "requests exceed the quota, seed " + seed);
    }
    assertTrue(tasksOnLentQuota > RANDOM_CLUSTERS, "tasks on lent quota: " + tasksOnLentQuota);
  }

  private static Job randomJob(String id, SplittableRandom random) {
    Job base = job(id, Priority.values()[1 + random.nextInt(3)], 1 + random.nextInt(9), 1);
    Job sized = withResources(base, new Resources(1 + random.nextInt(6), random.nextInt(2), 1));
    return random.nextBoolean() ? withRequiredZone("b", sized) : sized;
  }
}
