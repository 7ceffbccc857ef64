package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
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
import java.util.PriorityQueue;

/**
 * Chooses tasks to stop for waiting ones: lower work gives way for room and at a team's own limit,
 * and what a team has borrowed gives way, at any priority, to work within another's guarantee. The
 * victims that lose least go first; nothing is stopped unless that makes room for a waiting task.
 */
final class Preemption {
  private final ClusterView view;
  private final Map<String, Resources> use;
  private final List<Room> rooms = new ArrayList<>();
  private final List<RoundPlan.Stop> stops = new ArrayList<>();
  private int lowest = Integer.MAX_VALUE;

  private Preemption(ClusterView view, List<RoundPlan.Assignment> assignments) {
    this.view = view;
    this.use = new HashMap<>(view.teamUse());
    Map<String, Resources> taken = new HashMap<>();
    Map<String, Job> jobs = new HashMap<>();
    view.jobs().forEach(item -> jobs.put(item.job().id(), item.job()));
    for (RoundPlan.Assignment item : assignments) {
      Job job = jobs.get(item.job());
      taken.merge(item.machine(), job.perTask(), Resources::plus);
      use.merge(job.team(), job.perTask(), Resources::plus);
    }
    for (MachineView machine : view.machines()) {
      if (machine.usable()) {
        Room room = new Room(machine, taken.getOrDefault(machine.name(), Resources.NONE));
        rooms.add(room);
        for (RunningTask task : room.candidates) {
          lowest = Math.min(lowest, QueueOrder.rank(task.job(), view));
        }
      }
    }
    for (Room room : rooms) {
      room.leaving.forEach(this::left);
    }
  }

  static List<RoundPlan.Stop> plan(
      ClusterView view,
      List<RoundPlan.Unplaced> waiting,
      List<RoundPlan.Unplaced> atLimit,
      List<RoundPlan.Assignment> assignments) {
    if (waiting.isEmpty() && atLimit.isEmpty()) {
      return List.of();
    }
    Preemption preemption = new Preemption(view, assignments);
    for (RoundPlan.Unplaced item : waiting) {
      preemption.makeRoom(item);
    }
    for (RoundPlan.Unplaced item : atLimit) {
      preemption.makeAllowance(item);
    }
    return preemption.stops;
  }

  private void left(RunningTask task) {
    use.merge(task.job().team(), task.job().perTask(), (all, one) -> all.minus(one));
  }

  private void stop(Room room, RunningTask victim) {
    stops.add(room.stop(victim));
    left(victim);
  }

  /** Stops what lets most of the waiting tasks in for the least loss, machine by machine. */
  private void makeRoom(RoundPlan.Unplaced item) {
    Job job = item.job();
    boolean over = job.priority().ordinal() > lowest;
    if (job.oneZone() || job.spread() || !over && !view.owed().contains(job.team())) {
      return;
    }
    PriorityQueue<Choice> choices =
        new PriorityQueue<>(
            Comparator.comparingDouble(Choice::loss).thenComparing(Choice::machine));
    for (Room room : rooms) {
      MachineView machine = room.machine;
      if (Rules.allows(job, machine.type(), machine.zone(), machine.spot())
          && !machine.shunnedBy().contains(job.id())) {
        offer(choices, room, job);
      }
    }
    int left = item.tasks();
    while (left > 0 && !choices.isEmpty()) {
      Choice best = choices.poll();
      // What was stopped since may have spent the loan that this choice counted on.
      List<RunningTask> victims = victims(best.room, job);
      if (victims == null) {
        continue;
      }
      if (victims.equals(best.victims)) {
        victims.forEach(victim -> stop(best.room, victim));
        best.room.free = best.room.free.minus(job.perTask());
        use.merge(job.team(), job.perTask(), Resources::plus);
        left--;
      }
      offer(choices, best.room, job);
    }
  }

  /** What would be stopped on a machine for one task, and what that loses. */
  private record Choice(Room room, List<RunningTask> victims, double loss) {
    String machine() {
      return room.machine.name();
    }
  }

  private void offer(PriorityQueue<Choice> choices, Room room, Job job) {
    List<RunningTask> victims = victims(room, job);
    if (victims != null) {
      double loss = fetching(room.machine, job);
      for (RunningTask victim : victims) {
        loss += loss(victim);
      }
      choices.add(new Choice(room, victims, loss));
    }
  }

  /** Core-seconds that its task would wait for its image; it may be far longer than it runs. */
  private static double fetching(MachineView machine, Job job) {
    if (machine.images().contains(job.image())) {
      return 0;
    }
    double rate = Math.max(0.001, machine.type().fetchGbPerS());
    return 1 + job.imageGb() / rate * job.perTask().cpus();
  }

  /** The tasks whose stopping lets the job's task in; null if none would. */
  private List<RunningTask> victims(Room room, Job job) {
    if (job.perTask().fitsIn(room.free)) {
      return List.of();
    }
    if (room.candidates.isEmpty()) {
      return null;
    }
    boolean owed = view.owed().contains(job.team());
    List<RunningTask> able = new ArrayList<>();
    for (RunningTask task : room.candidates) {
      if (lower(task, job) || owed && !task.job().team().equals(job.team())) {
        able.add(task);
      }
    }
    able.sort(Comparator.comparingDouble(this::loss).thenComparing(task -> task.task().toString()));
    List<RunningTask> chosen = new ArrayList<>();
    Map<String, Resources> lost = new HashMap<>();
    Resources free = room.free;
    for (RunningTask task : able) {
      Job other = task.job();
      if (!lower(task, job)) {
        // Only what lies beyond the other team's own guarantee is borrowed.
        Team lender = view.teams().get(other.team());
        Resources left =
            use.getOrDefault(other.team(), Resources.NONE)
                .minus(lost.getOrDefault(other.team(), Resources.NONE));
        if (lender == null || lender.guaranteed(left)) {
          continue;
        }
      }
      lost.merge(other.team(), other.perTask(), Resources::plus);
      chosen.add(task);
      free = free.plus(other.perTask());
      if (job.perTask().fitsIn(free)) {
        return chosen;
      }
    }
    return null;
  }

  /** Work that has aged into a higher rank is not stopped by that rank, or it would never end. */
  private boolean lower(RunningTask task, Job job) {
    return QueueOrder.rank(task.job(), view) < job.priority().ordinal();
  }

  /**
   * A team's own lower work gives way when it alone keeps the team's pressing job at the team's
   * limit; otherwise an urgent job would wait for its own team's long ones.
   */
  private void makeAllowance(RoundPlan.Unplaced item) {
    Job job = item.job();
    Team team = view.teams().get(job.team());
    if (team == null || job.oneZone() || job.spread() || job.priority().ordinal() <= lowest) {
      return;
    }
    record Victim(Room room, RunningTask task) {}
    PriorityQueue<Victim> victims =
        new PriorityQueue<>(
            Comparator.comparingDouble((Victim victim) -> loss(victim.task))
                .thenComparing(victim -> victim.task.task().toString()));
    for (Room room : rooms) {
      MachineView machine = room.machine;
      if (!Rules.allows(job, machine.type(), machine.zone(), machine.spot())) {
        continue;
      }
      for (RunningTask task : room.candidates) {
        if (lower(task, job) && task.job().team().equals(job.team())) {
          victims.add(new Victim(room, task));
        }
      }
    }
    int left = item.tasks();
    while (left > 0) {
      Resources after = use.getOrDefault(job.team(), Resources.NONE).plus(job.perTask());
      if (team.allows(after)) {
        use.put(job.team(), after);
        left--;
      } else if (victims.isEmpty()) {
        return;
      } else {
        Victim victim = victims.poll();
        stop(victim.room, victim.task);
      }
    }
  }

  /** Core-seconds thrown away: since the last checkpoint at most, or all of the run so far. */
  private double loss(RunningTask task) {
    Job job = task.job();
    double lost = task.since() == null ? 0 : view.clock().minus(task.since()).toNanos() / 1e9;
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
    private final List<RunningTask> candidates = new ArrayList<>(4);
    private final List<RunningTask> leaving = new ArrayList<>(0);
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
  }
}
