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
 * The machines with free resources while a round's plan fills them, and their ranking for a job: a
 * machine that has the job's image or is fetching it is preferred, then the tightest fit and the
 * lower price, so that expensive machines become idle first and can be deleted.
 */
final class BinPool {
  /** Weight of a second of image fetch, in free CPUs. */
  private static final double CPUS_PER_FETCH_SECOND = 10;

  /** Gigabytes of free memory that weigh as much as a free CPU. */
  private static final double MEMORY_GB_PER_CPU = 8;

  /** Weight of the hourly price of one CPU, in free CPUs. */
  private static final double CPUS_PER_PRICE = 100;

  /** Weight of each CPU of the slots taken from jobs without machines, in free CPUs. */
  private static final double CPUS_PER_CONTENDED_CPU = 3;

  /** Bound on the jobs without machines whose slots are considered; it bounds a plan's cost. */
  private static final int MAX_CONTENDING_JOBS = 3;

  /** Bound on the slots of a job that are counted on one machine. */
  private static final int MAX_SLOTS_PER_MACHINE = 1000;

  private final ClusterView view;
  private final List<Bin> bins = new ArrayList<>();
  private final List<Bin> reserved = new ArrayList<>();
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

  /** What distinguishes the tasks of two jobs in a ranking of the machines. */
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

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
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

  /** How often a machine was examined for a ranking. */
  int machinesExamined() {
    return machinesExamined;
  }

  /**
   * The ranking for the job, shared by all jobs of equal demand: hundreds of jobs with one task
   * must not examine each machine again. A bin only gets better for a demand while it is filled, so
   * that the ranking stays valid.
   *
   * @return the machines that have, or had, room for a task, the best first; the caller may remove
   *     those without
   */
  List<Bin> sharedRanking(Job job) {
    return rankings.computeIfAbsent(Demand.of(job), key -> rank(job));
  }

  /** The machines with room for a task of the job, the best first. */
  List<Bin> rank(Job job) {
    return rank(job, null);
  }

  /**
   * The machines of one zone with room for a task of the job, the best first.
   *
   * @param zone the zone, null for all zones
   */
  @SuppressWarnings("JdkObsolete") // callers remove bins from its middle while they iterate
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

  /** The bin's cost for a task of the job, in free CPUs; the lowest is the best. */
  private double score(Job job, Bin bin) {
    MachineView machine = bin.machine();
    MachineType type = machine.type();
    double fetchSeconds = bin.hasImage(job.image()) ? 0 : type.fetchSeconds(job.imageGb());
    Resources left = bin.free().minus(job.perTask());
    return fetchSeconds * CPUS_PER_FETCH_SECOND
        + left.cpus()
        + left.memoryGb() / MEMORY_GB_PER_CPU
        + CPUS_PER_PRICE * type.hourlyPricePerCpu(machine.isSpot())
        + CPUS_PER_CONTENDED_CPU * contendedCpus(job, bin, left);
  }

  /** The most CPUs in slots that a job without machines would lose to a task of this job. */
  private double contendedCpus(Job job, Bin bin, Resources left) {
    double most = 0;
    for (Job other : contendingJobs) {
      if (other != job && bin.isAllowedFor(other)) {
        Resources perTask = other.perTask();
        int slots =
            perTask.countFittingIn(bin.free(), MAX_SLOTS_PER_MACHINE)
                - perTask.countFittingIn(left, MAX_SLOTS_PER_MACHINE);
        most = Math.max(most, slots * perTask.cpus());
      }
    }
    return most;
  }

  /**
   * The zone with room for most tasks of the job, the first by name of several.
   *
   * @param wanted the number of tasks, beyond which room on one machine does not count
   * @return empty if no machine has room for a task
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
   * Reserves the machine that is nearest to having room for a task of the job. Smaller tasks would
   * otherwise take each part of the machine as it becomes free.
   */
  void reserve(Job job) {
    Bin nearest = null;
    for (Bin bin : bins) {
      if (bin.isAllowedFor(job)
          && !bin.excludes(job)
          && (nearest == null || bin.free().cpus() > nearest.free().cpus())) {
        nearest = bin;
      }
    }
    if (nearest != null) {
      nearest.reserve();
      reserved.add(nearest);
      bins.remove(nearest);
    }
  }

  /** Leaves the machines to others from now on. */
  void reserve(Set<String> machines) {
    for (Bin bin : bins) {
      if (machines.contains(bin.machine().name())) {
        bin.reserve();
        reserved.add(bin);
      }
    }
    bins.removeIf(Bin::isReserved);
  }

  /** Whether a task of the job fits on some machine once that is idle. */
  boolean hasEligibleMachine(Job job) {
    for (MachineView machine : view.machines()) {
      if (PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot())
          && !machine.excludedJobs().contains(job.id())) {
        return true;
      }
    }
    return false;
  }

  /** Whether a machine that is reserved for another job has room for a task of this one. */
  boolean hasReservedRoom(Job job) {
    return hasRoom(reserved, job);
  }

  /** Whether a machine of any zone, which is not reserved, has room for a task of the job. */
  boolean hasRoom(Job job) {
    return hasRoom(bins, job);
  }

  private static boolean hasRoom(List<Bin> among, Job job) {
    for (Bin bin : among) {
      if (bin.accepts(job) && !bin.excludes(job)) {
        return true;
      }
    }
    return false;
  }

  /** Leaves the machines without free resources out of later rankings. */
  void removeFullMachines() {
    bins.removeIf(Bin::isFull);
  }
}
