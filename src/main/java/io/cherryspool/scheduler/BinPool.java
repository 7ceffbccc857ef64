package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The machines with free resources during a round's planning, and their ranking for a job. The
 * ranking prefers machines that have the job's image or are fetching it, then the tightest fit and
 * the lower price. Expensive machines therefore become idle first and can be deleted.
 */
final class BinPool {
  /** Score of each second of image fetch time, expressed in free CPUs. */
  private static final double CPUS_PER_FETCH_SECOND = 10;

  /** Gigabytes of free memory that score as much as one free CPU. */
  private static final double MEMORY_GB_PER_CPU = 8;

  /** Score of each unit of a CPU's hourly price, expressed in free CPUs. */
  private static final double CPUS_PER_PRICE = 100;

  /**
   * Score of each CPU that a placement takes from the task slots of a previously unschedulable job,
   * expressed in free CPUs.
   */
  private static final double CPUS_PER_CONTENDED_CPU = 3;

  /**
   * Maximum number of previously unschedulable jobs whose task slots are considered, which limits
   * the planning cost.
   */
  private static final int MAX_CONTENDING_JOBS = 3;

  /** Maximum number of a job's task slots that are counted on one machine. */
  private static final int MAX_SLOTS_PER_MACHINE = 1000;

  private final ClusterView view;
  private final List<Bin> bins = new ArrayList<>();
  private final List<Bin> reservedBins = new ArrayList<>();
  private final Map<Demand, List<Bin>> rankings = new HashMap<>();
  private final List<Job> contendingJobs;
  private int machinesExamined;

  BinPool(ClusterView view) {
    this.view = view;
    List<Job> jobs = view.previouslyUnschedulable();
    contendingJobs = jobs.subList(0, Math.min(MAX_CONTENDING_JOBS, jobs.size()));
    for (MachineView machine : view.machines()) {
      if (machine.free().cpus() > Bin.MIN_FREE_CPUS) {
        bins.add(new Bin(machine));
      }
    }
  }

  /** The properties of a job on which its ranking of the machines depends. */
  private record Demand(
      Resources perTask,
      List<String> allowedTypes,
      String requiredZone,
      boolean allowsSpot,
      String image) {
    static Demand of(Job job) {
      return new Demand(
          job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot(), job.image());
    }

    // Written by hand, since generated record methods are linked at run time; see "Start-up" in
    // docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof Demand other
          && allowsSpot == other.allowsSpot
          && image.equals(other.image)
          && perTask.equals(other.perTask)
          && Objects.equals(allowedTypes, other.allowedTypes)
          && Objects.equals(requiredZone, other.requiredZone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * image.hashCode() + perTask.hashCode()) + Objects.hashCode(requiredZone);
    }
  }

  /** Returns the number of times that a machine was examined for a ranking. */
  int machinesExamined() {
    return machinesExamined;
  }

  /**
   * Returns the ranking for the job, which is computed once for all jobs with equal demand.
   * Otherwise every machine would be examined again for each of hundreds of single-task jobs. The
   * ranking may be reused because a machine's score only improves while it is filled.
   *
   * @return the machines that have room for a task, or had it when the ranking was computed, best
   *     first; the caller may remove those without room
   */
  List<Bin> sharedRanking(Job job) {
    return rankings.computeIfAbsent(Demand.of(job), key -> rank(job));
  }

  /** Returns the machines with room for a task of the job, best first. */
  List<Bin> rank(Job job) {
    return rank(job, null);
  }

  /**
   * Returns the machines of one zone with room for a task of the job, best first.
   *
   * @param zone the zone, null for all zones
   */
  @SuppressWarnings(
      "JdkObsolete") // callers remove elements from the middle of the list while they iterate
  List<Bin> rank(Job job, String zone) {
    List<Bin> result = new ArrayList<>();
    for (Bin bin : bins) {
      machinesExamined++;
      if (bin.accepts(job) && (zone == null || zone.equals(bin.machine().zone()))) {
        bin.setScore(score(job, bin));
        result.add(bin);
      }
    }
    result.sort(Comparator.comparingDouble(Bin::score));
    return new LinkedList<>(result);
  }

  /**
   * Returns the score of placing a task of the job on the machine, in free CPUs; lower is better.
   */
  private double score(Job job, Bin bin) {
    MachineView machine = bin.machine();
    MachineType type = machine.type();
    double fetchSeconds = bin.hasImage(job.image()) ? 0 : type.fetchSeconds(job.imageGb());
    Resources freeAfter = bin.free().minus(job.perTask());
    return fetchSeconds * CPUS_PER_FETCH_SECOND
        + freeAfter.cpus()
        + freeAfter.memoryGb() / MEMORY_GB_PER_CPU
        + CPUS_PER_PRICE * type.hourlyPricePerCpu(machine.isSpot())
        + CPUS_PER_CONTENDED_CPU * contendedCpus(job, bin, freeAfter);
  }

  /**
   * Returns the CPUs of the task slots that a previously unschedulable job would lose if a task of
   * this job were placed on the machine. A task slot is room for one task. Of several such jobs,
   * the one that would lose most counts.
   */
  private double contendedCpus(Job job, Bin bin, Resources freeAfter) {
    double maxCpus = 0;
    for (Job other : contendingJobs) {
      if (other != job && bin.isAllowedFor(other)) {
        Resources perTask = other.perTask();
        int slots =
            perTask.countFittingIn(bin.free(), MAX_SLOTS_PER_MACHINE)
                - perTask.countFittingIn(freeAfter, MAX_SLOTS_PER_MACHINE);
        maxCpus = Math.max(maxCpus, slots * perTask.cpus());
      }
    }
    return maxCpus;
  }

  /**
   * Returns the zone with room for the most tasks of the job. If several zones have equal room,
   * returns the first by name.
   *
   * @param wanted the number of tasks to place, which caps the room counted on each machine
   * @return the zone, or empty if no machine has room for a task
   */
  Optional<String> zoneWithMostRoom(Job job, int wanted) {
    Map<String, Integer> roomByZone = new HashMap<>();
    for (Bin bin : bins) {
      if (bin.accepts(job) && !bin.excludes(job)) {
        int room = job.perTask().countFittingIn(bin.free(), wanted);
        roomByZone.merge(bin.machine().zone(), room, Integer::sum);
      }
    }
    String best = null;
    int mostRoom = 0;
    for (Map.Entry<String, Integer> entry : roomByZone.entrySet()) {
      int room = entry.getValue();
      if (best == null
          || room > mostRoom
          || (room == mostRoom && entry.getKey().compareTo(best) < 0)) {
        best = entry.getKey();
        mostRoom = room;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Reserves the allowed machine with the most free CPUs for a task of the job. Otherwise smaller
   * tasks would take each part of the machine as it becomes free.
   */
  void reserve(Job job) {
    Bin mostFree = null;
    for (Bin bin : bins) {
      if (bin.isAllowedFor(job)
          && !bin.excludes(job)
          && (mostFree == null || bin.free().cpus() > mostFree.free().cpus())) {
        mostFree = bin;
      }
    }
    if (mostFree != null) {
      mostFree.reserve();
      reservedBins.add(mostFree);
      bins.remove(mostFree);
    }
  }

  /** Reserves the machines with these names, so that later placements leave them out. */
  void reserve(Set<String> machines) {
    for (Bin bin : bins) {
      if (machines.contains(bin.machine().name())) {
        bin.reserve();
        reservedBins.add(bin);
      }
    }
    bins.removeIf(Bin::isReserved);
  }

  /** Whether some machine could run a task of the job if it were idle. */
  boolean hasEligibleMachine(Job job) {
    for (MachineView machine : view.machines()) {
      if (PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot())
          && !machine.excludedJobs().contains(job.id())) {
        return true;
      }
    }
    return false;
  }

  /** Whether a reserved machine has room for a task of the job. */
  boolean hasReservedRoom(Job job) {
    return hasRoom(reservedBins, job);
  }

  /** Whether an unreserved machine in any zone has room for a task of the job. */
  boolean hasRoom(Job job) {
    return hasRoom(bins, job);
  }

  private static boolean hasRoom(List<Bin> candidates, Job job) {
    for (Bin bin : candidates) {
      if (bin.accepts(job) && !bin.excludes(job)) {
        return true;
      }
    }
    return false;
  }

  /** Removes the full machines, so that later rankings do not examine them. */
  void removeFullMachines() {
    bins.removeIf(Bin::isFull);
  }
}
