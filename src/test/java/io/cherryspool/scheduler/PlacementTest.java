package io.cherryspool.scheduler;

import static io.cherryspool.model.JobFixture.job;
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
import io.cherryspool.scheduler.ClusterView.PendingTask;
import io.cherryspool.scheduler.ClusterView.RunningTask;
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

class PlacementTest {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final MachineType SMALL = type("small", 4);
  private static final MachineType LARGE = type("large", 16);

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

  private static JobView free(Job job) {
    List<PendingTask> tasks = new ArrayList<>();
    for (int i = 0; i < job.taskCount(); i++) {
      tasks.add(new PendingTask(i, 0, 0, null));
    }
    return new JobView(job, tasks, Map.of(), 0, false);
  }

  private static MachineView machine(String name, MachineType type, List<RunningTask> running) {
    Resources free = type.capacity();
    for (RunningTask task : running) {
      free = free.minus(task.job().perTask());
    }
    return new MachineView(name, type, "a", false, false, free, Set.of(), Set.of(), running);
  }

  private static RoundPlan plan(List<JobView> jobs, List<MachineView> machines, Team team) {
    return Placement.plan(
        ClusterFixture.of(
            0, 100, Duration.ofSeconds(120), jobs, machines, team, Map.of(), SMALL, LARGE));
  }

  @Test
  void thePressingJobGoesFirstAndTheLimitHolds() {
    Job low = job("req-000001", Priority.NORMAL, 4, 4);
    Job high = job("req-000002", Priority.HIGH, 2, 4);
    RoundPlan plan =
        plan(
            List.of(free(low), free(high)),
            List.of(machine("m", LARGE, List.of())),
            new Team("red", 0, 12, 0, 0));
    assertEquals(
        List.of("req-000002", "req-000002", "req-000001"),
        plan.assignments().stream().map(RoundPlan.Assignment::jobId).toList());
    assertTrue(plan.unschedulable().isEmpty(), "what the limit forbids is no reason to rent");
  }

  @Test
  void stopsOnlyLowerWorkAndOnlyForARealStart() {
    Job normal = job("req-000001", Priority.NORMAL, 4, 4);
    Job peer = job("req-000003", Priority.HIGH, 4, 4);
    Job high = job("req-000002", Priority.HIGH, 1, 8);
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      running.add(
          new RunningTask(
              new TaskId("req-000001", i), normal, Duration.ofSeconds(100 - 10 * (3 - i)), false));
    }
    running.add(new RunningTask(new TaskId("req-000003", 0), peer, Duration.ZERO, false));
    Team team = new Team("red", 0, 0, 0, 0);
    RoundPlan plan = plan(List.of(free(high)), List.of(machine("m", LARGE, running)), team);
    assertEquals(
        Set.of(new TaskId("req-000001", 1), new TaskId("req-000001", 2)),
        new HashSet<>(plan.victims().stream().map(RoundPlan.Victim::task).toList()),
        "the two that have run least");
    Job huge = job("req-000004", Priority.HIGH, 1, 16);
    assertTrue(
        plan(List.of(free(huge)), List.of(machine("m", LARGE, running)), team).victims().isEmpty(),
        "stopping all lower work would still not make room");
  }

  /**
   * Urgent tasks were put where stopping lost a little less, and then fetched their image for as
   * long as they run.
   */
  @Test
  void roomIsMadeWhereTheImageIs() {
    Job high = job("req-000002", Priority.HIGH, 1, 8);
    List<MachineView> machines = new ArrayList<>();
    for (String image : List.of("img", "other")) {
      Job normal = job("req-00001" + machines.size(), Priority.NORMAL, 2, 8);
      Duration since = Duration.ofSeconds(90 + machines.size());
      List<RunningTask> running =
          List.of(
              new RunningTask(new TaskId(normal.id(), 0), normal, since, false),
              new RunningTask(new TaskId(normal.id(), 1), normal, since, false));
      machines.add(
          new MachineView(
              "with-" + image,
              LARGE,
              "a",
              false,
              false,
              Resources.NONE,
              Set.of(image),
              Set.of(),
              running));
    }
    RoundPlan plan = plan(List.of(free(high)), machines, new Team("red", 0, 0, 0, 0));
    assertEquals(
        List.of("req-000010"), plan.victims().stream().map(stop -> stop.task().jobId()).toList());
  }

  /** An urgent job once waited for its own team's long tasks, which filled the team's limit. */
  @Test
  void aTeamsLowerWorkGivesWayAtTheTeamsLimit() {
    Job normal = job("req-000001", Priority.NORMAL, 2, 4);
    Job high = job("req-000002", Priority.HIGH, 3, 2);
    List<RunningTask> running = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      running.add(
          new RunningTask(new TaskId("req-000001", i), normal, Duration.ofSeconds(95 - i), false));
    }
    RoundPlan plan =
        Placement.plan(
            ClusterFixture.of(
                0,
                100,
                Duration.ofSeconds(120),
                List.of(free(high)),
                List.of(machine("m", LARGE, running)),
                new Team("red", 0, 10, 0, 0),
                Map.of("red", normal.perTask().times(2)),
                LARGE));
    assertEquals(1, plan.assignments().size(), "what the limit still allows");
    assertEquals(
        List.of(new TaskId("req-000001", 0)),
        plan.victims().stream().map(RoundPlan.Victim::task).toList(),
        "one stop lets in the other two");
  }

  @Test
  void randomPlansObeyEveryLimit() {
    for (int seed = 0; seed < 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<String, JobView> jobs = new HashMap<>();
      for (int i = 0; i < 6; i++) {
        Job base =
            job(
                "req-00000" + i,
                Priority.values()[random.nextInt(4)],
                1 + random.nextInt(9),
                1 + random.nextInt(6));
        Job job =
            new Job(
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
        jobs.put(job.id(), free(job));
      }
      Map<String, MachineView> machines = new HashMap<>();
      for (int i = 0; i < 7; i++) {
        MachineType type = random.nextBoolean() ? SMALL : LARGE;
        machines.put(
            "m" + i,
            new MachineView(
                "m" + i,
                type,
                ZONES.get(random.nextInt(3)),
                random.nextBoolean(),
                random.nextInt(5) == 0,
                type.capacity(),
                Set.of(),
                Set.of(),
                List.of()));
      }
      Team team = new Team("red", 0, 30, 0, 0);
      RoundPlan plan = plan(List.copyOf(jobs.values()), List.copyOf(machines.values()), team);
      check(seed, plan, jobs, machines, team);
    }
  }

  private static void check(
      int seed,
      RoundPlan plan,
      Map<String, JobView> jobs,
      Map<String, MachineView> machines,
      Team team) {
    Map<String, Resources> used = new HashMap<>();
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    Set<TaskId> seen = new HashSet<>();
    Resources total = Resources.NONE;
    for (RoundPlan.Assignment item : plan.assignments()) {
      Job job = jobs.get(item.jobId()).job();
      MachineView machine = machines.get(item.machine());
      assertTrue(seen.add(new TaskId(item.jobId(), item.taskIndex())), "twice, seed " + seed);
      assertTrue(
          PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot()),
          "place, seed " + seed);
      used.merge(machine.name(), job.perTask(), Resources::plus);
      assertTrue(used.get(machine.name()).fitsIn(machine.free()), "room, seed " + seed);
      Map<String, Integer> perZone = zones.computeIfAbsent(job.id(), key -> new HashMap<>());
      perZone.merge(machine.zone(), 1, Integer::sum);
      assertTrue(perZone.get(machine.zone()) <= job.maxTasksPerZone(), "spread, seed " + seed);
      assertTrue(!job.requiresSingleZone() || perZone.size() == 1, "one zone, seed " + seed);
      total = total.plus(job.perTask());
    }
    assertTrue(team.isWithinQuota(total), "limit, seed " + seed);
  }
}
