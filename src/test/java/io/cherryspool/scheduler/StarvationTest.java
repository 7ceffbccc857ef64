package io.cherryspool.scheduler;

import static io.cherryspool.model.JobFixture.job;
import static io.cherryspool.scheduler.ClusterFixture.TEAM_WITHOUT_QUOTA;
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
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that no job starves while more urgent and smaller jobs arrive every second. */
class StarvationTest {
  private static final MachineType TYPE =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 1, 1, 0.5, Duration.ofSeconds(50), List.of("a"));
  private static final int MACHINES = 4;
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(150);
  private static final int RUN_SECONDS = 12;
  private static final int JOBS_PER_SECOND = 3;

  /** The placement of a task that has not ended. */
  private record PlacedTask(String machine, int startedAt) {}

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<TaskId, PlacedTask> running = new HashMap<>();
  private final Set<TaskId> victims = new HashSet<>();
  private final Map<String, Integer> startedTasks = new HashMap<>();

  private static Job submittedAt(Job base, int second) {
    return new Job(
        base.id(),
        base.jobClass(),
        base.team(),
        base.priority(),
        base.taskCount(),
        base.perTask(),
        base.image(),
        base.imageGb(),
        null,
        null,
        false,
        false,
        true,
        base.estimatedRunTime(),
        Duration.ZERO,
        Duration.ZERO,
        Duration.ofSeconds(60),
        Instant.EPOCH.plusSeconds(second));
  }

  private Job submitAtStart(Priority priority, int tasks, double cpus) {
    Job job = submittedAt(job("req-000001", priority, tasks, cpus), 0);
    jobs.put(job.id(), job);
    return job;
  }

  /** Submits small jobs and plans a round in each second. */
  private void run(int seconds, Team team, SplittableRandom random) {
    for (int now = 0; now < seconds; now++) {
      for (int i = 0; i < JOBS_PER_SECOND; i++) {
        Priority priority = random.nextInt(3) == 0 ? Priority.NORMAL : Priority.HIGH;
        String id = String.format("req-%06d", 1000 + now * JOBS_PER_SECOND + i);
        jobs.put(id, submittedAt(job(id, priority, 4 + random.nextInt(6), 2), now));
      }
      endTasks(now);
      applyPlan(now, plan(now, team));
    }
  }

  private void endTasks(int now) {
    for (Iterator<Map.Entry<TaskId, PlacedTask>> iterator = running.entrySet().iterator();
        iterator.hasNext(); ) {
      Map.Entry<TaskId, PlacedTask> entry = iterator.next();
      boolean isVictim = victims.contains(entry.getKey());
      if (isVictim || now - entry.getValue().startedAt >= RUN_SECONDS) {
        victims.remove(entry.getKey());
        iterator.remove();
      }
    }
  }

  private RoundPlan plan(int now, Team team) {
    return PlacementPlanner.plan(
        ClusterFixture.view(
            now, MAX_START_DELAY, jobViews(), machineViews(), team, usageByTeam(), TYPE));
  }

  private Map<String, Resources> usageByTeam() {
    Map<String, Resources> result = new HashMap<>();
    for (TaskId task : running.keySet()) {
      Job job = jobs.get(task.jobId());
      result.merge(job.team(), job.perTask(), Resources::plus);
    }
    return result;
  }

  private List<MachineView> machineViews() {
    Map<String, List<RunningTask>> tasksByMachine = new HashMap<>();
    running.forEach(
        (task, placed) ->
            tasksByMachine
                .computeIfAbsent(placed.machine, key -> new ArrayList<>())
                .add(
                    new RunningTask(
                        task,
                        jobs.get(task.jobId()),
                        Duration.ofSeconds(placed.startedAt),
                        false)));
    List<MachineView> result = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      String name = "m" + i;
      result.add(ClusterFixture.machine(name, TYPE, tasksByMachine.getOrDefault(name, List.of())));
    }
    return result;
  }

  private List<JobView> jobViews() {
    List<JobView> result = new ArrayList<>();
    for (Job job : jobs.values()) {
      int started = startedTasks.getOrDefault(job.id(), 0);
      if (started < job.taskCount()) {
        result.add(
            new JobView(
                job,
                ClusterFixture.pendingTasks(started, job.taskCount()),
                Map.of(),
                0,
                started > 0));
      }
    }
    return result;
  }

  private void applyPlan(int now, RoundPlan plan) {
    for (RoundPlan.Assignment item : plan.assignments()) {
      TaskId task = new TaskId(item.jobId(), item.taskIndex());
      running.put(task, new PlacedTask(item.machine(), now));
      startedTasks.merge(item.jobId(), item.taskIndex() + 1, Math::max);
    }
    plan.victims().forEach(victim -> victims.add(victim.task()));
  }

  /**
   * Large jobs once waited as long as small jobs kept arriving, since each part of a machine that
   * became free was too small for them.
   */
  @Test
  void largestJobStartsWithinFourMinutes() {
    for (int seed = 0; seed < 4; seed++) {
      StarvationTest cluster = new StarvationTest();
      Job large = cluster.submitAtStart(Priority.NORMAL, 6, 16);
      cluster.run(240, TEAM_WITHOUT_QUOTA, new SplittableRandom(seed));
      assertTrue(cluster.startedTasks.containsKey(large.id()), "not started, seed " + seed);
    }
  }

  /** Smaller jobs would always use up the team's quota if none were reserved for the large job. */
  @Test
  void largestJobStartsAlthoughItsTeamIsAtItsQuota() {
    Job large = submitAtStart(Priority.NORMAL, 2, 14);
    run(240, new Team("red", 0, 20, 0, 0), new SplittableRandom(7));
    assertTrue(startedTasks.containsKey(large.id()));
  }

  /**
   * Jobs that had missed their deadlines were once placed after all others for as long as those
   * kept arriving.
   */
  @Test
  void jobThatMissedItsDeadlinesIsEventuallyPlaced() {
    Job late = submitAtStart(Priority.HIGH, 40, 2);
    run(700, TEAM_WITHOUT_QUOTA, new SplittableRandom(3));
    assertEquals(40, startedTasks.get(late.id()));
  }
}
