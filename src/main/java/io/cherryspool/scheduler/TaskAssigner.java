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
 * Assigns tasks to the best machines with room. It does not check team quotas, which the caller has
 * to respect.
 */
final class TaskAssigner {
  private final BinPool bins;
  private final Map<String, Map<String, Integer>> taskCountsByJob = new HashMap<>();
  private final List<UnsatisfiableDemand> unsatisfiableDemands = new ArrayList<>();
  private final List<RoundPlan.Assignment> assignments = new ArrayList<>();
  private int machinesExamined;

  TaskAssigner(BinPool bins) {
    this.bins = bins;
  }

  /**
   * The result of assigning tasks of a job.
   *
   * @param placedCount the number of assigned tasks, which are the first of the list
   * @param unplacedCause why the other tasks were not assigned; meaningless if all were
   */
  record Result(int placedCount, HoldCause unplacedCause) {}

  /** A demand for which no machine has room in this round. */
  private record UnsatisfiableDemand(
      Resources perTask, List<String> allowedTypes, String requiredZone, boolean allowsSpot) {

    /**
     * Whether the job cannot be placed either, since its tasks need at least as much and may use no
     * other machines.
     */
    boolean rulesOut(Job job) {
      return perTask.fitsIn(job.perTask())
          && Objects.equals(allowedTypes, job.allowedTypes())
          && Objects.equals(requiredZone, job.requiredZone())
          && (allowsSpot || !job.allowsSpot());
    }
  }

  /** Returns all assignments in the order in which they were made. */
  List<RoundPlan.Assignment> assignments() {
    return assignments;
  }

  /** Returns the number of times a machine was examined, for a ranking or for a task. */
  int machinesExamined() {
    return machinesExamined + bins.machinesExamined();
  }

  /**
   * Assigns tasks in order until no machine has room.
   *
   * @param usesLentQuota see {@link RoundPlan.Assignment}
   */
  Result assign(JobView jobView, List<Integer> tasks, boolean usesLentQuota) {
    Job job = jobView.job();
    if (!job.requiresSingleZone() && !job.requiresZoneSpread()) {
      return assignInAnyZone(new BinFiller(job, tasks, null, usesLentQuota));
    }
    Map<String, Integer> taskCountsByZone =
        taskCountsByJob.computeIfAbsent(
            job.id(), key -> new HashMap<>(jobView.ownedTaskCountsByZone()));
    BinFiller filler = new BinFiller(job, tasks, taskCountsByZone, usesLentQuota);
    if (!job.requiresSingleZone()) {
      filler.fill(bins.rank(job));
      return filler.result();
    }
    Optional<String> zone = chooseZone(job, taskCountsByZone, tasks.size());
    if (zone.isEmpty()) {
      return new Result(0, causeWithoutRoom(job));
    }
    filler.fill(bins.rank(job, zone.get()));
    filler.hasReachedZoneLimit = filler.placedCount < tasks.size() && bins.hasRoom(job);
    return filler.result();
  }

  /** Assigns tasks of a job that requires neither a single zone nor a spread over zones. */
  private Result assignInAnyZone(BinFiller filler) {
    Job job = filler.job;
    if (isUnsatisfiable(job)) {
      return new Result(0, causeWithoutRoom(job));
    }
    filler.fill(bins.sharedRanking(job));
    if (filler.placedCount < filler.tasks.size() && !filler.hasSkippedExcludedMachine) {
      unsatisfiableDemands.add(
          new UnsatisfiableDemand(
              job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot()));
    }
    return filler.result();
  }

  private boolean isUnsatisfiable(Job job) {
    for (UnsatisfiableDemand demand : unsatisfiableDemands) {
      if (demand.rulesOut(job)) {
        return true;
      }
    }
    return false;
  }

  private HoldCause causeWithoutRoom(Job job) {
    return bins.hasReservedRoom(job) ? HoldCause.RESERVED_MACHINE : HoldCause.NO_MACHINE;
  }

  /**
   * Returns the zone in which tasks of the job already run, or else the zone with room for the most
   * of its tasks.
   */
  private Optional<String> chooseZone(Job job, Map<String, Integer> taskCountsByZone, int wanted) {
    for (Map.Entry<String, Integer> entry : taskCountsByZone.entrySet()) {
      if (entry.getValue() > 0) {
        return Optional.of(entry.getKey());
      }
    }
    return bins.zoneWithMostRoom(job, wanted);
  }

  /** Assigns tasks of one job to machines in the order of a ranking. */
  private final class BinFiller {
    private final Job job;
    private final List<Integer> tasks;
    private final Map<String, Integer> taskCountsByZone;
    private final boolean usesLentQuota;
    private int placedCount;
    private boolean hasSkippedExcludedMachine;
    private boolean hasReachedZoneLimit;

    /**
     * Creates a filler that has placed no task.
     *
     * @param taskCountsByZone the number of the job's owned and placed tasks by zone, to which
     *     placed tasks are added; null if the job does not restrict the zones of its tasks together
     */
    BinFiller(
        Job job,
        List<Integer> tasks,
        Map<String, Integer> taskCountsByZone,
        boolean usesLentQuota) {
      this.job = job;
      this.tasks = tasks;
      this.taskCountsByZone = taskCountsByZone;
      this.usesLentQuota = usesLentQuota;
    }

    Result result() {
      if (hasReachedZoneLimit) {
        return new Result(placedCount, HoldCause.ZONE_CONSTRAINT);
      }
      if (hasSkippedExcludedMachine) {
        return new Result(placedCount, HoldCause.EXCLUDED_MACHINE);
      }
      return new Result(placedCount, causeWithoutRoom(job));
    }

    /**
     * Places the tasks in order until no machine has room, and removes machines without room from
     * the ranking.
     */
    void fill(List<Bin> ranking) {
      boolean hasFilledMachine = false;
      for (Iterator<Bin> iterator = ranking.iterator();
          iterator.hasNext() && placedCount < tasks.size(); ) {
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

    /** Places as many tasks on the machine as fit, and returns whether the machine is full then. */
    private boolean fill(Bin bin) {
      String zone = bin.machine().zone();
      int wanted = tasks.size() - placedCount;
      if (taskCountsByZone != null) {
        wanted = Math.min(wanted, job.maxTasksPerZone() - taskCountsByZone.getOrDefault(zone, 0));
        hasReachedZoneLimit |= wanted <= 0;
      }
      int count = wanted <= 0 ? 0 : job.perTask().countFittingIn(bin.free(), wanted);
      if (count == 0) {
        return false;
      }
      for (int i = 0; i < count; i++) {
        assignments.add(
            new RoundPlan.Assignment(
                job.id(), tasks.get(placedCount++), bin.machine().name(), usesLentQuota));
      }
      bin.place(job, count);
      if (taskCountsByZone != null) {
        taskCountsByZone.merge(zone, count, Integer::sum);
      }
      return bin.isFull();
    }
  }
}
