package io.cherryspool.scheduler;

import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static io.cherryspool.scheduler.QuotaFixture.AFTER_PROMOTION_S;
import static io.cherryspool.scheduler.QuotaFixture.BEFORE_PROMOTION_S;
import static io.cherryspool.scheduler.QuotaFixture.MAX_START_DELAY;
import static io.cherryspool.scheduler.QuotaFixture.TYPE;
import static io.cherryspool.scheduler.QuotaFixture.boundTo;
import static io.cherryspool.scheduler.QuotaFixture.idleMachine;
import static io.cherryspool.scheduler.QuotaFixture.job;
import static io.cherryspool.scheduler.QuotaFixture.placed;
import static io.cherryspool.scheduler.QuotaFixture.plan;
import static io.cherryspool.scheduler.QuotaFixture.withLentUsage;
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

/** What runs on quota that tasks without a machine have lent, and what they still ask for. */
class LentQuotaTest {
  private static final int RANDOM_CLUSTERS = 400;

  /** Machines would be asked for in some rounds only, and the job might never get one. */
  @Test
  void aTaskWhoseQuotaWasLentStillAsksForMachines() {
    Job bound = boundTo("b", job("req-000001", Priority.NORMAL, 6, 4));
    Job borrower = job("req-000002", Priority.NORMAL, 6, 4);
    Resources used = borrower.perTask().times(6);
    ClusterView plain =
        ClusterFixture.view(
            BEFORE_PROMOTION_S,
            MAX_START_DELAY,
            List.of(notStarted(bound)),
            List.of(idleMachine("m1", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of("red", used),
            TYPE);
    assertEquals(List.of(), PlacementPlanner.plan(plain).unschedulable());
    assertEquals(
        List.of(new RoundPlan.TaskGroup(bound, 6)),
        PlacementPlanner.plan(withLentUsage(plain, used)).unschedulable());
    assertEquals(
        List.of(new RoundPlan.TaskGroup(bound, 2)),
        PlacementPlanner.plan(withLentUsage(plain, borrower.perTask().times(2))).unschedulable());
  }

  /** What runs on lent quota is marked, and no more runs than the quota allows. */
  @Test
  void tasksOnLentQuotaAreMarked() {
    Job bound = boundTo("b", job("req-000001", Priority.NORMAL, 4, 4));
    Job free = job("req-000002", Priority.NORMAL, 9, 4);
    RoundPlan plan =
        plan(
            BEFORE_PROMOTION_S,
            List.of(notStarted(bound), notStarted(free)),
            List.of(idleMachine("m1", "a"), idleMachine("m2", "a"), idleMachine("m3", "a")),
            new Team("red", 0, 24, 0, 0),
            Map.of());
    assertEquals(6, placed(plan, free));
    assertEquals(
        4, plan.assignments().stream().filter(RoundPlan.Assignment::usesLentQuota).count());
    assertEquals(List.of(new RoundPlan.TaskGroup(bound, 4)), plan.unschedulable());
  }

  /**
   * Neither the team's use nor what machines are asked for exceeds the quota, whatever the plan.
   */
  @Test
  void randomPlansKeepToTheQuota() {
    int lentPlans = 0;
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
                  random.nextBoolean() ? BEFORE_PROMOTION_S : AFTER_PROMOTION_S,
                  MAX_START_DELAY,
                  jobs,
                  List.of(idleMachine("m1", "a"), idleMachine("m2", "a"), idleMachine("m3", "a")),
                  team,
                  Map.of("red", owned),
                  TYPE),
              lent);
      RoundPlan plan = PlacementPlanner.plan(view);
      Resources use = owned;
      for (RoundPlan.Assignment item : plan.assignments()) {
        use = use.plus(jobsById.get(item.jobId()).perTask());
        lentPlans += item.usesLentQuota() ? 1 : 0;
      }
      assertTrue(team.isWithinQuota(use), "in use, seed " + seed);
      Resources asked = owned.minus(lent);
      for (RoundPlan.TaskGroup group : plan.unschedulable()) {
        asked = asked.plus(group.job().perTask().times(group.taskCount()));
      }
      assertTrue(team.isWithinQuota(asked), "asked for, seed " + seed);
    }
    assertTrue(lentPlans > RANDOM_CLUSTERS, "tasks on lent quota: " + lentPlans);
  }

  private static Job randomJob(String id, SplittableRandom random) {
    Job base = job(id, Priority.values()[1 + random.nextInt(3)], 1 + random.nextInt(9), 1);
    Job sized = withResources(base, new Resources(1 + random.nextInt(6), random.nextInt(2), 1));
    return random.nextBoolean() ? boundTo("b", sized) : sized;
  }
}
