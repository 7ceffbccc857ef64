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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A lasting flood of more urgent and smaller work, second by second, against the queue's order. */
class StarvationTest {
  private static final MachineType BOX =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 1, 1, 0.5, Duration.ofSeconds(50), List.of("a"));
  private static final Duration PATIENCE = Duration.ofSeconds(150);
  private static final int RUN_S = 12;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<TaskId, Integer> started = new HashMap<>();
  private final Map<TaskId, String> where = new HashMap<>();
  private final Map<TaskId, Boolean> stopped = new HashMap<>();
  private final Map<String, Integer> begun = new HashMap<>();

  private static Job at(Job base, int second) {
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

  private void play(int seconds, Team team, SplittableRandom random) {
    for (int now = 0; now < seconds; now++) {
      for (int i = 0; i < 3; i++) {
        Priority priority = random.nextInt(3) == 0 ? Priority.NORMAL : Priority.HIGH;
        String id = String.format("req-%06d", 1000 + now * 3 + i);
        jobs.put(id, at(job(id, priority, 4 + random.nextInt(6), 2), now));
      }
      step(now, team);
    }
  }

  private void step(int now, Team team) {
    started
        .entrySet()
        .removeIf(
            entry -> {
              boolean over = now - entry.getValue() >= RUN_S || stopped.containsKey(entry.getKey());
              if (over) {
                where.remove(entry.getKey());
                stopped.remove(entry.getKey());
              }
              return over;
            });
    Map<String, List<RunningTask>> running = new HashMap<>();
    Map<String, Resources> use = new HashMap<>();
    started.forEach(
        (task, since) -> {
          Job job = jobs.get(task.jobId());
          running
              .computeIfAbsent(where.get(task), key -> new ArrayList<>())
              .add(new RunningTask(task, job, Duration.ofSeconds(since), false));
          use.merge(job.team(), job.perTask(), Resources::plus);
        });
    List<MachineView> machines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      List<RunningTask> here = running.getOrDefault("m" + i, List.of());
      Resources free = BOX.capacity();
      for (RunningTask task : here) {
        free = free.minus(task.job().perTask());
      }
      machines.add(
          new MachineView("m" + i, BOX, "a", false, false, free, Set.of(), Set.of(), here));
    }
    List<JobView> views = new ArrayList<>();
    for (Job job : jobs.values()) {
      int first = begun.getOrDefault(job.id(), 0);
      List<PendingTask> free = new ArrayList<>();
      for (int task = first; task < job.taskCount(); task++) {
        free.add(new PendingTask(task, 0, 0, null));
      }
      if (!free.isEmpty()) {
        views.add(new JobView(job, free, Map.of(), 0, first > 0));
      }
    }
    RoundPlan plan =
        Placement.plan(ClusterFixture.of(now, now, PATIENCE, views, machines, team, use, BOX));
    for (RoundPlan.Assignment item : plan.assignments()) {
      TaskId task = new TaskId(item.jobId(), item.taskIndex());
      started.put(task, now);
      where.put(task, item.machine());
      begun.merge(item.jobId(), item.taskIndex() + 1, Math::max);
    }
    plan.victims().forEach(stop -> stopped.put(stop.task(), true));
  }

  /**
   * Large work once waited as long as the flood lasted: every piece that fell free was too small.
   */
  @Test
  void theLargestJobBeginsWithinFourMinutes() {
    for (int seed = 0; seed < 4; seed++) {
      StarvationTest day = new StarvationTest();
      Job large = at(job("req-000001", Priority.NORMAL, 6, 16), 0);
      day.jobs.put(large.id(), large);
      day.play(240, new Team("red", 0, 0, 0, 0), new SplittableRandom(seed));
      assertTrue(day.begun.containsKey(large.id()), "not begun, seed " + seed);
    }
  }

  /** The same at the team's own limit, which smaller work would otherwise always fill. */
  @Test
  void theLargestJobBeginsAtItsTeamsLimit() {
    Job large = at(job("req-000001", Priority.NORMAL, 2, 14), 0);
    jobs.put(large.id(), large);
    play(240, new Team("red", 0, 20, 0, 0), new SplittableRandom(7));
    assertTrue(begun.containsKey(large.id()));
  }

  /** Those whose deadline is lost went behind all others for good. */
  @Test
  void aJobBeyondItsDeadlinesIsServedInTheEnd() {
    Job late = at(job("req-000001", Priority.HIGH, 40, 2), 0);
    jobs.put(late.id(), late);
    play(700, new Team("red", 0, 0, 0, 0), new SplittableRandom(3));
    assertEquals(40, begun.get(late.id()));
  }

  /** A plan's cost once followed all machines times all tasks. */
  @Test
  void aPlanLooksAtWhatCanTakeATaskAndOnceForAllEqualTasks() {
    List<MachineView> machines = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      Resources free = i < 10 ? new Resources(4, 0, 16) : new Resources(0, 0, 8);
      machines.add(
          new MachineView("m" + i, BOX, "a", false, false, free, Set.of(), Set.of(), List.of()));
    }
    List<JobView> views = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      Job job = job(String.format("req-%06d", i), Priority.NORMAL, 60, 4);
      List<PendingTask> free = new ArrayList<>();
      for (int task = 0; task < 60; task++) {
        free.add(new PendingTask(task, 0, 0, null));
      }
      views.add(new JobView(job, free, Map.of(), 0, false));
    }
    RoundPlan plan =
        Placement.plan(
            ClusterFixture.of(
                0, 0, PATIENCE, views, machines, new Team("red", 0, 0, 0, 0), Map.of(), BOX));
    assertEquals(10, plan.assignments().size());
    assertTrue(plan.machinesExamined() <= 20, "looked at " + plan.machinesExamined());
  }
}
