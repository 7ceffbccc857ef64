package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses tasks to stop for waiting ones of higher priority. Per machine, the victims that lose
 * least go first; nothing is stopped unless that makes room for a waiting task.
 */
final class Preemption {
  private Preemption() {}

  static List<RoundPlan.Stop> plan(
      ClusterView view,
      List<RoundPlan.Unplaced> waiting,
      List<RoundPlan.Unplaced> atLimit,
      Map<String, Resources> teamUse,
      List<RoundPlan.Assignment> assignments) {
    List<RoundPlan.Stop> stops = new ArrayList<>();
    Map<String, Resources> taken = new HashMap<>();
    Map<String, Job> jobs = new HashMap<>();
    view.jobs().forEach(item -> jobs.put(item.job().id(), item.job()));
    for (RoundPlan.Assignment item : assignments) {
      taken.merge(item.machine(), jobs.get(item.job()).perTask(), Resources::plus);
    }
    List<Room> rooms = new ArrayList<>();
    for (MachineView machine : view.machines()) {
      if (machine.usable()) {
        rooms.add(new Room(machine, taken.getOrDefault(machine.name(), Resources.NONE)));
      }
    }
    for (RoundPlan.Unplaced item : waiting) {
      for (int i = 0; i < item.tasks(); i++) {
        if (!makeRoom(item.job(), rooms, stops)) {
          break;
        }
      }
    }
    Map<String, Resources> use = new HashMap<>(teamUse);
    for (Room room : rooms) {
      for (RunningTask task : room.leaving) {
        use.merge(task.job().team(), task.job().perTask(), (all, one) -> all.minus(one));
      }
    }
    for (RoundPlan.Unplaced item : atLimit) {
      makeAllowance(item, view.teams().get(item.job().team()), use, rooms, stops);
    }
    return stops;
  }

  /**
   * A team's own lower work gives way when it alone keeps the team's pressing job at the team's
   * limit; otherwise an urgent job would wait for its own team's long ones.
   */
  private static void makeAllowance(
      RoundPlan.Unplaced item,
      Team team,
      Map<String, Resources> use,
      List<Room> rooms,
      List<RoundPlan.Stop> stops) {
    Job job = item.job();
    Resources total = use.getOrDefault(job.team(), Resources.NONE);
    int left = team == null || job.oneZone() || job.spread() ? 0 : item.tasks();
    while (left > 0) {
      Resources after = total.plus(job.perTask());
      if (team.allows(after)) {
        total = after;
        left--;
        continue;
      }
      Room from = null;
      RunningTask victim = null;
      for (Room room : rooms) {
        MachineView machine = room.machine;
        if (!Rules.allows(job, machine.type(), machine.zone(), machine.spot())) {
          continue;
        }
        for (RunningTask task : room.candidates) {
          boolean lower = task.job().priority().compareTo(job.priority()) < 0;
          if (lower
              && task.job().team().equals(job.team())
              && (victim == null || loss(task) < loss(victim))) {
            from = room;
            victim = task;
          }
        }
      }
      if (victim == null) {
        break;
      }
      total = total.minus(victim.job().perTask());
      stops.add(from.stop(victim));
    }
    use.put(job.team(), total);
  }

  private static boolean makeRoom(Job job, List<Room> rooms, List<RoundPlan.Stop> stops) {
    if (job.priority() == Priority.LOW || job.oneZone() || job.spread()) {
      return false;
    }
    Room best = null;
    List<RunningTask> bestVictims = null;
    double bestLoss = Double.MAX_VALUE;
    for (Room room : rooms) {
      MachineView machine = room.machine;
      if (!Rules.allows(job, machine.type(), machine.zone(), machine.spot())
          || machine.shunnedBy().contains(job.id())) {
        continue;
      }
      List<RunningTask> victims = room.victims(job);
      if (victims != null) {
        double loss = victims.stream().mapToDouble(Preemption::loss).sum();
        loss += machine.images().contains(job.image()) ? 0 : 1;
        if (loss < bestLoss) {
          best = room;
          bestVictims = victims;
          bestLoss = loss;
        }
      }
    }
    if (best == null) {
      return false;
    }
    for (RunningTask victim : bestVictims) {
      stops.add(best.stop(victim));
    }
    best.free = best.free.minus(job.perTask());
    return true;
  }

  /** Core-seconds thrown away: since the last checkpoint at most, or all of the run so far. */
  private static double loss(RunningTask task) {
    Job job = task.job();
    double lost = task.runFor().toNanos() / 1e9;
    if (!job.checkpoint().isZero()) {
      lost = Math.min(lost, job.save().toNanos() / 1e9);
    }
    return (lost + 1) * Math.max(0.1, job.perTask().cpus());
  }

  static Duration grace(Job job) {
    return job.checkpoint().isZero() ? Duration.ZERO : job.save().plusSeconds(1);
  }

  /** A machine with what stopping could free; tasks that are stopping already count as free. */
  private static final class Room {
    private final MachineView machine;
    private final List<RunningTask> candidates = new ArrayList<>();
    private final List<RunningTask> leaving = new ArrayList<>();
    private Resources free;

    Room(MachineView machine, Resources taken) {
      this.machine = machine;
      this.free = machine.free().minus(taken);
      for (RunningTask task : machine.running()) {
        if (task.stopping()) {
          leave(task);
        } else {
          candidates.add(task);
        }
      }
    }

    private void leave(RunningTask task) {
      leaving.add(task);
      free = free.plus(task.job().perTask());
    }

    RoundPlan.Stop stop(RunningTask victim) {
      candidates.remove(victim);
      leave(victim);
      return new RoundPlan.Stop(victim.task(), grace(victim.job()));
    }

    /** The tasks whose stopping lets the job's task in; null if none would. */
    List<RunningTask> victims(Job job) {
      Resources room = free;
      List<RunningTask> chosen = new ArrayList<>();
      if (job.perTask().fitsIn(room)) {
        return chosen;
      }
      List<RunningTask> lower = new ArrayList<>();
      for (RunningTask task : candidates) {
        if (task.job().priority().compareTo(job.priority()) < 0) {
          lower.add(task);
        }
      }
      lower.sort(
          Comparator.comparingDouble(Preemption::loss)
              .thenComparing(task -> task.task().toString()));
      for (RunningTask task : lower) {
        chosen.add(task);
        room = room.plus(task.job().perTask());
        if (job.perTask().fitsIn(room)) {
          return chosen;
        }
      }
      return null;
    }
  }
}
