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
  private final List<RoundPlan.Victim> stops = new ArrayList<>();
  private int lowest = Integer.MAX_VALUE;

  private Preemption(ClusterView view, List<RoundPlan.Assignment> assignments) {
    this.view = view;
    this.use = new HashMap<>(view.usageByTeam());
    Map<String, Resources> taken = new HashMap<>();
    Map<String, Job> jobs = new HashMap<>();
    view.jobs().forEach(item -> jobs.put(item.job().id(), item.job()));
    for (RoundPlan.Assignment item : assignments) {
      Job job = jobs.get(item.jobId());
      taken.merge(item.machine(), job.perTask(), Resources::plus);
      use.merge(job.team(), job.perTask(), Resources::plus);
    }
    for (MachineView machine : view.machines()) {
      Room room = room(machine, taken.getOrDefault(machine.name(), Resources.NONE));
      rooms.add(room);
      for (Candidate candidate : room.candidates) {
        lowest = Math.min(lowest, candidate.rank);
      }
    }
    for (Room room : rooms) {
      room.leaving.forEach(this::left);
    }
  }

  static List<RoundPlan.Victim> plan(
      ClusterView view,
      List<RoundPlan.TaskGroup> waiting,
      List<RoundPlan.TaskGroup> atLimit,
      List<RoundPlan.Assignment> assignments) {
    if (waiting.isEmpty() && atLimit.isEmpty()) {
      return List.of();
    }
    Preemption preemption = new Preemption(view, assignments);
    for (RoundPlan.TaskGroup item : waiting) {
      preemption.makeRoom(item);
    }
    for (RoundPlan.TaskGroup item : atLimit) {
      preemption.makeAllowance(item);
    }
    return preemption.stops;
  }

  /** A task that could be stopped: its rank in the queue, and what stopping it would lose. */
  private record Candidate(RunningTask task, int rank, double loss) {
    Job job() {
      return task.job();
    }
  }

  private static final Comparator<Candidate> LEAST_LOSS =
      Comparator.comparingDouble(Candidate::loss).thenComparing(candidate -> candidate.task.task());

  /** Ranks and losses are worked out once: a machine may hold dozens of small tasks. */
  private Room room(MachineView machine, Resources taken) {
    Room room = new Room(machine, taken);
    for (RunningTask task : machine.runningTasks()) {
      if (task.isStopping()) {
        room.leave(task);
      } else {
        room.candidates.add(new Candidate(task, QueueOrder.rank(task.job(), view), loss(task)));
      }
    }
    room.candidates.sort(LEAST_LOSS);
    return room;
  }

  private void left(RunningTask task) {
    use.merge(task.job().team(), task.job().perTask(), (all, one) -> all.minus(one));
  }

  private void stop(Room room, Candidate victim) {
    stops.add(room.stop(victim));
    left(victim.task);
  }

  /** Stops what lets most of the waiting tasks in for the least loss, machine by machine. */
  private void makeRoom(RoundPlan.TaskGroup item) {
    Job job = item.job();
    boolean over = job.priority().ordinal() > lowest;
    if (job.requiresSingleZone()
        || job.requiresZoneSpread()
        || !over && !view.teamsWithinGuarantee().contains(job.team())) {
      return;
    }
    PriorityQueue<Choice> choices =
        new PriorityQueue<>(
            Comparator.comparingDouble(Choice::loss).thenComparing(Choice::machine));
    for (Room room : rooms) {
      MachineView machine = room.machine;
      if (PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot())
          && !machine.excludedJobs().contains(job.id())) {
        offer(choices, room, job);
      }
    }
    int left = item.taskCount();
    while (left > 0 && !choices.isEmpty()) {
      Choice best = choices.poll();
      // What was stopped since may have spent the loan that this choice counted on.
      List<Candidate> victims = victims(best.room, job);
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
  private record Choice(Room room, List<Candidate> victims, double loss) {
    String machine() {
      return room.machine.name();
    }
  }

  private void offer(PriorityQueue<Choice> choices, Room room, Job job) {
    List<Candidate> victims = victims(room, job);
    if (victims != null) {
      double loss = fetching(room.machine, job);
      for (Candidate victim : victims) {
        loss += victim.loss;
      }
      choices.add(new Choice(room, victims, loss));
    }
  }

  /** Core-seconds that its task would wait for its image; it may be far longer than it runs. */
  private static double fetching(MachineView machine, Job job) {
    if (machine.cachedImages().contains(job.image())) {
      return 0;
    }
    double rate = Math.max(0.001, machine.type().fetchGbPerSecond());
    return 1 + job.imageGb() / rate * job.perTask().cpus();
  }

  /** The tasks whose stopping lets the job's task in; null if none would. */
  private List<Candidate> victims(Room room, Job job) {
    if (job.perTask().fitsIn(room.free)) {
      return List.of();
    }
    boolean owed = view.teamsWithinGuarantee().contains(job.team());
    List<Candidate> chosen = new ArrayList<>();
    Map<String, Resources> lost = new HashMap<>();
    Resources free = room.free;
    for (Candidate task : room.candidates) {
      Job other = task.job();
      if (!lower(task, job)) {
        if (!owed || other.team().equals(job.team())) {
          continue;
        }
        // Only what lies beyond the other team's own guarantee is borrowed.
        Team lender = view.teams().get(other.team());
        Resources left =
            use.getOrDefault(other.team(), Resources.NONE)
                .minus(lost.getOrDefault(other.team(), Resources.NONE));
        if (lender == null || lender.isWithinGuaranteedQuota(left)) {
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
  private static boolean lower(Candidate task, Job job) {
    return task.rank < job.priority().ordinal();
  }

  /**
   * A team's own lower work gives way when it alone keeps the team's pressing job at the team's
   * limit; otherwise an urgent job would wait for its own team's long ones.
   */
  private void makeAllowance(RoundPlan.TaskGroup item) {
    Job job = item.job();
    Team team = view.teams().get(job.team());
    if (team == null
        || job.requiresSingleZone()
        || job.requiresZoneSpread()
        || job.priority().ordinal() <= lowest) {
      return;
    }
    record Victim(Room room, Candidate task) {}
    PriorityQueue<Victim> victims =
        new PriorityQueue<>(Comparator.comparing(Victim::task, LEAST_LOSS));
    for (Room room : rooms) {
      MachineView machine = room.machine;
      if (!PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot())) {
        continue;
      }
      for (Candidate task : room.candidates) {
        if (lower(task, job) && task.job().team().equals(job.team())) {
          victims.add(new Victim(room, task));
        }
      }
    }
    int left = item.taskCount();
    while (left > 0) {
      Resources after = use.getOrDefault(job.team(), Resources.NONE).plus(job.perTask());
      if (team.isWithinQuota(after)) {
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
    double lost =
        task.runningSince() == null
            ? 0
            : view.steadyNow().minus(task.runningSince()).toNanos() / 1e9;
    if (!job.checkpointInterval().isZero()) {
      lost = Math.min(lost, job.checkpointDuration().toNanos() / 1e9);
    }
    return (lost + 1) * Math.max(0.1, job.perTask().cpus());
  }

  static Duration grace(Job job) {
    return job.checkpointInterval().isZero()
        ? Duration.ZERO
        : job.checkpointDuration().plusSeconds(1);
  }

  /** A machine with what stopping could free; tasks that are stopping already count as free. */
  private static final class Room {
    private final MachineView machine;
    private final List<Candidate> candidates = new ArrayList<>(4);
    private final List<RunningTask> leaving = new ArrayList<>(0);
    private Resources free;

    Room(MachineView machine, Resources taken) {
      this.machine = machine;
      this.free = machine.free().minus(taken);
    }

    private void leave(RunningTask task) {
      leaving.add(task);
      free = free.plus(task.job().perTask());
    }

    RoundPlan.Victim stop(Candidate victim) {
      candidates.remove(victim);
      leave(victim.task);
      return new RoundPlan.Victim(victim.task.task(), grace(victim.job()));
    }
  }
}
