package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Plans a round: takes the queue in its order and places each task on the best machine with room.
 *
 * <p>The cost of a plan follows what can be placed, not what waits: full machines are left out, the
 * equal tasks of a job are placed together, and a demand that no machine can satisfy is not tried
 * again for jobs that need at least as much.
 */
public final class Placement {
  private final ClusterView view;
  private final Map<String, Resources> usageByTeam;
  private final BinPool bins;
  private final Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();
  private final List<UnsatisfiableDemand> unsatisfiable = new ArrayList<>();
  private final List<RoundPlan.Assignment> assignments = new ArrayList<>();
  private final List<RoundPlan.TaskGroup> unschedulable = new ArrayList<>();
  private final List<RoundPlan.TaskGroup> overQuota = new ArrayList<>();
  private final Map<HoldCause, Integer> heldTasks = new EnumMap<>(HoldCause.class);
  private final EntryDecision.Listener listener;

  /** Why the tasks of the last entry that was placed in part lack machines. */
  private HoldCause machineCause = HoldCause.NO_MACHINE;

  private int examined;

  private Placement(ClusterView view, EntryDecision.Listener listener) {
    this.view = view;
    this.listener = listener;
    this.usageByTeam = new HashMap<>(view.usageByTeam());
    this.bins = new BinPool(view);
  }

  /** The plan for the view. Equal views give equal plans. */
  public static RoundPlan plan(ClusterView view) {
    return plan(view, EntryDecision.Listener.NONE);
  }

  /** As above; the listener receives the decision on each entry of the queue. */
  public static RoundPlan plan(ClusterView view, EntryDecision.Listener listener) {
    Placement placement = new Placement(view, listener);
    for (QueueOrder.Entry entry : QueueOrder.sortedEntries(view)) {
      placement.place(entry);
    }
    return new RoundPlan(
        placement.assignments,
        Preemption.plan(view, placement.unschedulable, placement.overQuota, placement.assignments),
        placement.unschedulable,
        RelocatableTasks.find(view, placement.unschedulable),
        placement.heldTasks,
        placement.bins.examined() + placement.examined);
  }

  /** A demand for which no machine has room any more in this round. */
  private record UnsatisfiableDemand(
      Resources perTask, List<String> allowedTypes, String requiredZone, boolean allowsSpot) {

    /** Whether the job needs at least as much, of the same machines or fewer. */
    boolean covers(Job job) {
      return perTask.fitsIn(job.perTask())
          && Objects.equals(allowedTypes, job.allowedTypes())
          && Objects.equals(requiredZone, job.requiredZone())
          && (allowsSpot || !job.allowsSpot());
    }
  }

  /** Places the entry's tasks as far as the team's quota and the machines allow. */
  private void place(QueueOrder.Entry entry) {
    Job job = entry.view().job();
    Team team = view.teams().get(job.team());
    List<Integer> tasks = entry.tasks();
    Resources usage = usageByTeam.getOrDefault(job.team(), Resources.NONE);
    int allowed = team == null ? 0 : team.countWithinQuota(usage, job.perTask(), tasks.size());
    if (allowed < tasks.size()) {
      overQuota.add(new RoundPlan.TaskGroup(job, tasks.size() - allowed));
    }
    if (allowed == 0) {
      if (entry.isPromoted()) {
        // The quota that the team's other tasks free next is kept for this one.
        usageByTeam.put(job.team(), usage.plus(job.perTask()));
      }
      decided(entry, 0, tasks.size(), 0);
      return;
    }
    usageByTeam.put(job.team(), usage.plus(job.perTask().times(allowed)));
    int placed = placeOnMachines(entry.view(), tasks.subList(0, allowed));
    if (placed < allowed) {
      unschedulable.add(new RoundPlan.TaskGroup(job, allowed - placed));
      if (entry.isPromoted()) {
        bins.reserve(job);
      }
    }
    decided(entry, placed, tasks.size() - allowed, allowed - placed);
  }

  /** Counts the tasks that are held, and passes the decision on. */
  private void decided(QueueOrder.Entry entry, int placed, int overQuota, int lackMachine) {
    Optional<HoldCause> cause = Optional.empty();
    if (lackMachine > 0) {
      cause = Optional.of(machineCause);
      heldTasks.merge(machineCause, lackMachine, Integer::sum);
    }
    if (overQuota > 0) {
      heldTasks.merge(HoldCause.OVER_QUOTA, overQuota, Integer::sum);
    }
    if (listener != EntryDecision.Listener.NONE) {
      listener.entryPlanned(
          new EntryDecision(
              entry.view().job().id(), entry.isPromoted(), placed, overQuota, lackMachine, cause));
    }
  }

  /** Places the tasks in order as far as machines have room, and returns how many. */
  private int placeOnMachines(JobView jobView, List<Integer> tasks) {
    Job job = jobView.job();
    if (!job.requiresSingleZone() && !job.requiresZoneSpread()) {
      return placeInAnyZone(job, tasks);
    }
    Map<String, Integer> byZone =
        tasksByZone.computeIfAbsent(job.id(), key -> new HashMap<>(jobView.ownedTasksByZone()));
    if (!job.requiresSingleZone()) {
      BinFiller filler = new BinFiller(job, tasks, byZone);
      filler.fill(bins.rank(job));
      return countPlaced(filler);
    }
    Optional<String> zone = chooseZone(job, byZone, tasks.size());
    if (zone.isEmpty()) {
      machineCause = causeWithoutRoom(job);
      return 0;
    }
    BinFiller filler = new BinFiller(job, tasks, byZone);
    filler.fill(bins.rank(job, zone.get()));
    filler.hasMetZoneLimit = filler.placed < tasks.size() && bins.hasRoom(job);
    return countPlaced(filler);
  }

  /** How many tasks the filler has placed; notes why it has not placed the others. */
  private int countPlaced(BinFiller filler) {
    if (filler.hasMetZoneLimit) {
      machineCause = HoldCause.ZONE_CONSTRAINT;
    } else if (filler.hasMetExclusion) {
      machineCause = HoldCause.EXCLUDED_MACHINE;
    } else {
      machineCause = causeWithoutRoom(filler.job);
    }
    return filler.placed;
  }

  private HoldCause causeWithoutRoom(Job job) {
    return bins.hasReservedRoom(job) ? HoldCause.RESERVED_MACHINE : HoldCause.NO_MACHINE;
  }

  /** Places tasks of a job without constraints on the zones of its tasks together. */
  private int placeInAnyZone(Job job, List<Integer> tasks) {
    if (isUnsatisfiable(job)) {
      machineCause = causeWithoutRoom(job);
      return 0;
    }
    BinFiller filler = new BinFiller(job, tasks, null);
    filler.fill(bins.sharedRanking(job));
    if (filler.placed < tasks.size() && !filler.hasMetExclusion) {
      unsatisfiable.add(
          new UnsatisfiableDemand(
              job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot()));
    }
    return countPlaced(filler);
  }

  private boolean isUnsatisfiable(Job job) {
    for (UnsatisfiableDemand demand : unsatisfiable) {
      if (demand.covers(job)) {
        return true;
      }
    }
    return false;
  }

  /** The zone that the job's tasks are in, or else the one with room for most of them. */
  private Optional<String> chooseZone(Job job, Map<String, Integer> byZone, int wanted) {
    for (Map.Entry<String, Integer> entry : byZone.entrySet()) {
      if (entry.getValue() > 0) {
        return Optional.of(entry.getKey());
      }
    }
    return bins.roomiestZone(job, wanted);
  }

  /** Places tasks of one job on machines in the order of their ranking. */
  private final class BinFiller {
    private final Job job;
    private final List<Integer> tasks;
    private final Map<String, Integer> byZone;
    private int placed;
    private boolean hasMetExclusion;
    private boolean hasMetZoneLimit;

    /**
     * Starts with no task placed.
     *
     * @param byZone counts the job's owned and placed tasks by zone, null if zones don't matter
     */
    BinFiller(Job job, List<Integer> tasks, Map<String, Integer> byZone) {
      this.job = job;
      this.tasks = tasks;
      this.byZone = byZone;
    }

    /**
     * Places the tasks in order as far as the machines have room. Machines without room are removed
     * from the ranking.
     */
    void fill(List<Bin> ranking) {
      boolean hasFilledMachine = false;
      for (Iterator<Bin> all = ranking.iterator(); all.hasNext() && placed < tasks.size(); ) {
        Bin bin = all.next();
        examined++;
        if (bin.isReserved() || !job.perTask().fitsIn(bin.free())) {
          all.remove();
        } else if (bin.excludes(job)) {
          hasMetExclusion = true;
        } else {
          hasFilledMachine |= fill(bin);
        }
      }
      if (hasFilledMachine) {
        bins.removeFull();
      }
    }

    /** Places as many tasks as fit on the machine, and returns whether that leaves it full. */
    private boolean fill(Bin bin) {
      String zone = bin.machine().zone();
      int wanted = tasks.size() - placed;
      if (byZone != null) {
        wanted = Math.min(wanted, job.maxTasksPerZone() - byZone.getOrDefault(zone, 0));
        hasMetZoneLimit |= wanted <= 0;
      }
      int count = wanted <= 0 ? 0 : job.perTask().countFittingIn(bin.free(), wanted);
      if (count == 0) {
        return false;
      }
      for (int i = 0; i < count; i++) {
        assignments.add(
            new RoundPlan.Assignment(job.id(), tasks.get(placed++), bin.machine().name()));
      }
      bin.add(job, count);
      if (byZone != null) {
        byZone.merge(zone, count, Integer::sum);
      }
      return bin.isFull();
    }
  }
}
