package io.cherryspool.scheduler;

import static io.cherryspool.model.JobFixture.job;
import static io.cherryspool.scheduler.ClusterFixture.machine;
import static io.cherryspool.scheduler.ClusterFixture.notStarted;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests that assignments follow the queue order and respect quotas, free resources and constraints.
 */
class PlacementPlannerTest {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final MachineType SMALL = type("small", 4);
  private static final MachineType LARGE = type("large", 16);
  private static final int RANDOM_CLUSTERS = 400;

  private static MachineType type(String name, double cpus) {
    return new MachineType(
        name,
        new Resources(cpus, 0, cpus * 4),
        10,
        0.5,
        cpus,
        cpus / 2,
        Duration.ofSeconds(30),
        ZONES);
  }

  private static RoundPlan plan(List<JobView> jobs, List<MachineView> machines, Team team) {
    return PlacementPlanner.plan(
        ClusterFixture.view(
            100, Duration.ofMinutes(2), jobs, machines, team, Map.of(), SMALL, LARGE));
  }

  @Test
  void higherPriorityIsPlacedFirstWithinTheQuota() {
    Job normal = job("req-000001", Priority.NORMAL, 4, 4);
    Job high = job("req-000002", Priority.HIGH, 2, 4);
    RoundPlan plan =
        plan(
            List.of(notStarted(normal), notStarted(high)),
            List.of(machine("m", LARGE, List.of())),
            new Team("red", 0, 12, 0, 0));
    assertEquals(
        List.of("req-000002", "req-000002", "req-000001"),
        plan.assignments().stream().map(RoundPlan.Assignment::jobId).toList());
    assertTrue(plan.unschedulable().isEmpty(), "tasks beyond the quota must not cause a scale-out");
  }

  @Test
  void randomPlansSatisfyAllConstraints() {
    for (int seed = 0; seed < RANDOM_CLUSTERS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<String, JobView> jobs = new HashMap<>();
      for (int i = 0; i < 6; i++) {
        Job job = randomJob("req-00000" + i, random);
        jobs.put(job.id(), notStarted(job));
      }
      Map<String, MachineView> machines = new HashMap<>();
      for (int i = 0; i < 7; i++) {
        machines.put("m" + i, randomMachine("m" + i, random));
      }
      Team team = new Team("red", 0, 30, 0, 0);
      RoundPlan plan = plan(List.copyOf(jobs.values()), List.copyOf(machines.values()), team);
      checkConstraints("seed " + seed, plan, jobs, machines, team);
    }
  }

  private static Job randomJob(String id, SplittableRandom random) {
    Job base =
        job(id, Priority.values()[random.nextInt(4)], 1 + random.nextInt(9), 1 + random.nextInt(6));
    return new Job(
        base.id(),
        base.jobClass(),
        base.team(),
        base.priority(),
        base.taskCount(),
        base.perTask(),
        "img" + random.nextInt(2),
        1,
        random.nextInt(3) == 0 ? List.of("large") : null,
        random.nextInt(4) == 0 ? "b" : null,
        random.nextInt(3) == 0,
        random.nextInt(3) == 0,
        random.nextBoolean(),
        base.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        null,
        Instant.EPOCH);
  }

  private static MachineView randomMachine(String name, SplittableRandom random) {
    MachineType type = random.nextBoolean() ? SMALL : LARGE;
    return new MachineView(
        name,
        type,
        ZONES.get(random.nextInt(3)),
        random.nextBoolean(),
        random.nextInt(5) == 0,
        type.capacity(),
        Set.of(),
        Set.of(),
        List.of());
  }

  private static void checkConstraints(
      String cluster,
      RoundPlan plan,
      Map<String, JobView> jobs,
      Map<String, MachineView> machines,
      Team team) {
    Map<String, Resources> usageByMachine = new HashMap<>();
    Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();
    Set<TaskId> placed = new HashSet<>();
    Resources total = Resources.NONE;
    for (RoundPlan.Assignment item : plan.assignments()) {
      Job job = jobs.get(item.jobId()).job();
      MachineView machine = machines.get(item.machine());
      assertTrue(
          placed.add(new TaskId(item.jobId(), item.taskIndex())), "task placed twice, " + cluster);
      assertTrue(
          PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot()),
          "machine not allowed, " + cluster);
      usageByMachine.merge(machine.name(), job.perTask(), Resources::plus);
      assertTrue(
          usageByMachine.get(machine.name()).fitsIn(machine.free()),
          "free resources exceeded, " + cluster);
      Map<String, Integer> byZone = tasksByZone.computeIfAbsent(job.id(), key -> new HashMap<>());
      byZone.merge(machine.zone(), 1, Integer::sum);
      assertTrue(
          byZone.get(machine.zone()) <= job.maxTasksPerZone(),
          "too many tasks in one zone, " + cluster);
      assertTrue(
          !job.requiresSingleZone() || byZone.size() == 1,
          "tasks of a single-zone job in several zones, " + cluster);
      total = total.plus(job.perTask());
    }
    assertTrue(team.isWithinQuota(total), "team quota exceeded, " + cluster);
  }

  /** Guards against a planning cost that is the product of the numbers of machines and tasks. */
  @Test
  void machinesWithRoomAreExaminedOnceForAllEqualTasks() {
    List<MachineView> machines = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      Resources free = i < 10 ? new Resources(4, 0, 16) : new Resources(0, 0, 8);
      machines.add(machine("m" + i, LARGE, free, List.of()));
    }
    List<JobView> jobs = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      jobs.add(notStarted(job(String.format("req-%06d", i), Priority.NORMAL, 60, 4)));
    }
    RoundPlan plan = plan(jobs, machines, ClusterFixture.TEAM_WITHOUT_QUOTA);
    assertEquals(10, plan.assignments().size());
    assertTrue(plan.machinesExamined() <= 20, "machines examined: " + plan.machinesExamined());
  }
}
