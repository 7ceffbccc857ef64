package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.JobView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Assigns tasks to the best machines with room, whatever their teams' quotas. Quotas are the
 * caller's concern.
 */
final class TaskAssigner {
  private final BinPool bins;
  private final Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();
  private final List<UnsatisfiableDemand> unsatisfiable = new ArrayList<>();
  private final List<RoundPlan.Assignment> assignments = new ArrayList<>();
  private int machinesExamined;

  TaskAssigner(BinPool bins) {
    this.bins = bins;
  }

  /**
   * What became of some tasks of a job.
   *
   * @param placed how many were assigned, the first ones
   * @param unplacedCause why the others lack machines; says nothing if there are none
   */
  record Result(int placed, HoldCause unplacedCause) {}

  /** A demand for which no machine has room any more in this round. */
  private record UnsatisfiableDemand(
      Resources perTask, List<String> allowedTypes, String requiredZone, boolean allowsSpot) {

    /** Whether the job needs at least as much, of the same machines or fewer. */
    boolean rulesOut(Job job) {
      return perTask.fitsIn(job.perTask())
          && Objects.equals(allowedTypes, job.allowedTypes())
          && Objects.equals(requiredZone, job.requiredZone())
          && (allowsSpot || !job.allowsSpot());
    }
  }

  /** All assignments in the order in which they were made. */
  List<RoundPlan.Assignment> assignments() {
    return assignments;
  }

  /** How often a machine was examined for a task. */
  int machinesExamined() {
    return machinesExamined + bins.machinesExamined();
  }

  /**
   * Assigns the tasks in order as far as machines have room.
   *
   * @param usesLentQuota see {@link RoundPlan.Assignment}
   */
  Result assign(JobView jobView, List<Integer> tasks, boolean usesLentQuota) {
    Job job = jobView.job();
    if (!job.requiresSingleZone() && !job.requiresZoneSpread()) {
      return assignInAnyZone(new BinFiller(job, tasks, null, usesLentQuota));
    }
    Map<String, Integer> byZone =
        tasksByZone.computeIfAbsent(job.id(), key -> new HashMap<>(jobView.ownedTasksByZone()));
    BinFiller filler = new BinFiller(job, tasks, byZone, usesLentQuota);
    if (!job.requiresSingleZone()) {
      filler.fill(bins.rank(job));
      return filler.result();
    }
    Optional<String> zone = chooseZone(job, byZone, tasks.size());
    if (zone.isEmpty()) {
      return new Result(0, causeWithoutRoom(job));
    }
    filler.fill(bins.rank(job, zone.get()));
    filler.hasReachedZoneLimit = filler.placed < tasks.size() && bins.hasRoom(job);
    return filler.result();
  }

  /** Assigns tasks of a job without constraints on the zones of its tasks together. */
  private Result assignInAnyZone(BinFiller filler) {
    Job job = filler.job;
    if (isUnsatisfiable(job)) {
      return new Result(0, causeWithoutRoom(job));
    }
    filler.fill(bins.sharedRanking(job));
    if (filler.placed < filler.tasks.size() && !filler.hasSkippedExcludedMachine) {
      unsatisfiable.add(
          new UnsatisfiableDemand(
              job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot()));
    }
    return filler.result();
  }

  private boolean isUnsatisfiable(Job job) {
    for (UnsatisfiableDemand demand : unsatisfiable) {
      if (demand.rulesOut(job)) {
        return true;
      }
    }
    return false;
  }

  private HoldCause causeWithoutRoom(Job job) {
    return bins.hasReservedRoom(job) ? HoldCause.RESERVED_MACHINE : HoldCause.NO_MACHINE;
  }

  /** The zone that the job's tasks are in, or else the one with room for most of them. */
  private Optional<String> chooseZone(Job job, Map<String, Integer> byZone, int wanted) {
    for (Map.Entry<String, Integer> entry : byZone.entrySet()) {
      if (entry.getValue() > 0) {
        return Optional.of(entry.getKey());
      }
    }
    return bins.zoneWithMostRoom(job, wanted);
  }

  /** Assigns tasks of one job to machines in the order of their ranking. */
  private final class BinFiller {
    private final Job job;
    private final List<Integer> tasks;
    private final Map<String, Integer> byZone;
    private final boolean usesLentQuota;
    private int placed;
    private boolean hasSkippedExcludedMachine;
    private boolean hasReachedZoneLimit;

    /**
     * Starts with no task placed.
     *
     * @param byZone counts the job's owned and placed tasks by zone, null if zones don't matter
     */
    BinFiller(Job job, List<Integer> tasks, Map<String, Integer> byZone, boolean usesLentQuota) {
      this.job = job;
      this.tasks = tasks;
      this.byZone = byZone;
      this.usesLentQuota = usesLentQuota;
    }

    Result result() {
      if (hasReachedZoneLimit) {
        return new Result(placed, HoldCause.ZONE_CONSTRAINT);
      }
      if (hasSkippedExcludedMachine) {
        return new Result(placed, HoldCause.EXCLUDED_MACHINE);
      }
      return new Result(placed, causeWithoutRoom(job));
    }

    /**
     * Places the tasks in order as far as the machines have room. Machines without room are removed
     * from the ranking.
     */
    void fill(List<Bin> ranking) {
      boolean hasFilledMachine = false;
      for (Iterator<Bin> iterator = ranking.iterator();
          iterator.hasNext() && placed < tasks.size(); ) {
        Bin bin = iterator.next();
        machinesExamined++;
        if (bin.isReserved() || !job.perTask().fitsIn(bin.free())) {
          iterator.remove();
        } else if (bin.excludes(job)) {
          hasSkippedExcludedMachine = true;
        } else {
          hasFilledMachine |= fill(bin);
        }
      }
      if (hasFilledMachine) {
        bins.removeFullMachines();
      }
    }

    /** Places as many tasks as fit on the machine, and returns whether that leaves it full. */
    private boolean fill(Bin bin) {
      String zone = bin.machine().zone();
      int wanted = tasks.size() - placed;
      if (byZone != null) {
        wanted = Math.min(wanted, job.maxTasksPerZone() - byZone.getOrDefault(zone, 0));
        hasReachedZoneLimit |= wanted <= 0;
      }
      int count = wanted <= 0 ? 0 : job.perTask().countFittingIn(bin.free(), wanted);
      if (count == 0) {
        return false;
      }
      for (int i = 0; i < count; i++) {
        assignments.add(
            new RoundPlan.Assignment(
                job.id(), tasks.get(placed++), bin.machine().name(), usesLentQuota));
      }
      bin.place(job, count);
      if (byZone != null) {
        byZone.merge(zone, count, Integer::sum);
      }
      return bin.isFull();
    }
  }
}
