package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Plans a round: walks the queue and gives each task the best machine with room. A machine that has
 * the image, or is fetching it, is preferred, then the tightest fit. The cost follows what can be
 * placed: full machines are left out, a job's equal tasks are placed together, and a task that
 * finds no room speaks for all that need as much.
 */
public final class Placement {
  /** How much room left over a cheaper hour of a CPU is worth. */
  private static final double CPUS_PER_PRICE = 100;

  /** A machine with less than this left takes no task. */
  private static final double NO_CPUS = 0.01;

  /** How many of the jobs without room are thought of when others are placed. */
  private static final int SCARCE_JOBS = 3;

  /** A machine that is to run empty comes after all others, whatever speaks for it. */
  private static final double CLOSING = 1e6;

  private static final int MANY = 1000;

  /** What taking a place from a job without room counts, for each CPU of the place. */
  private static final double SCARCE_CPU = 3;

  private final ClusterView view;
  private final Map<String, Resources> use;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<String, Map<String, Integer>> zones = new HashMap<>();
  private final List<Failure> failures = new ArrayList<>();
  private final Map<Demand, List<Bin>> ranked = new HashMap<>();
  private final List<RoundPlan.Assignment> assignments = new ArrayList<>();
  private final List<RoundPlan.TaskGroup> unplaced = new ArrayList<>();
  private final List<RoundPlan.TaskGroup> atLimit = new ArrayList<>();
  private final List<Job> scarce;
  private int considered;

  private Placement(ClusterView view) {
    this.view = view;
    this.use = new HashMap<>(view.usageByTeam());
    this.scarce =
        view.previouslyUnschedulable()
            .subList(0, Math.min(SCARCE_JOBS, view.previouslyUnschedulable().size()));
    for (MachineView machine : view.machines()) {
      if (machine.free().cpus() > NO_CPUS) {
        bins.add(new Bin(machine));
      }
    }
  }

  public static RoundPlan plan(ClusterView view) {
    Placement placement = new Placement(view);
    QueueOrder.sortedEntries(view).forEach(placement::place);
    return new RoundPlan(
        placement.assignments,
        Preemption.plan(view, placement.unplaced, placement.atLimit, placement.assignments),
        placement.unplaced,
        placement.displacing(),
        placement.considered);
  }

  /** A machine while the plan fills it. */
  private static final class Bin {
    private final MachineView machine;
    private final Set<String> added = new HashSet<>(2);
    private Resources free;
    private double score;
    private boolean reserved;

    Bin(MachineView machine) {
      this.machine = machine;
      this.free = machine.free();
    }

    boolean full() {
      return free.cpus() <= NO_CPUS;
    }

    boolean hasImage(String image) {
      return machine.cachedImages().contains(image) || added.contains(image);
    }
  }

  /** A demand for which no machine has room any more in this round. */
  private record Failure(Resources each, List<String> types, String zone, boolean spot) {
    boolean covers(Job job) {
      return each.fitsIn(job.perTask())
          && Objects.equals(types, job.allowedTypes())
          && Objects.equals(zone, job.requiredZone())
          && (spot || !job.allowsSpot());
    }
  }

  /** What tells two jobs' tasks apart where machines are chosen for them. */
  private record Demand(
      Resources each, List<String> types, String zone, boolean spot, String image) {
    static Demand of(Job job) {
      return new Demand(
          job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot(), job.image());
    }

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof Demand other
          && spot == other.spot
          && image.equals(other.image)
          && each.equals(other.each)
          && Objects.equals(types, other.types)
          && Objects.equals(zone, other.zone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * image.hashCode() + each.hashCode()) + Objects.hashCode(zone);
    }
  }

  private void place(QueueOrder.Entry entry) {
    Job job = entry.job().job();
    Team team = view.teams().get(job.team());
    List<Integer> tasks = entry.tasks();
    Resources total = use.getOrDefault(job.team(), Resources.NONE);
    int allowed = team == null ? 0 : team.countWithinQuota(total, job.perTask(), tasks.size());
    if (allowed < tasks.size()) {
      atLimit.add(new RoundPlan.TaskGroup(job, tasks.size() - allowed));
    }
    if (allowed == 0) {
      if (entry.front()) {
        // What the team's others give back next is kept for it.
        use.put(job.team(), total.plus(job.perTask()));
      }
      return;
    }
    use.put(job.team(), total.plus(job.perTask().times(allowed)));
    int placed = fill(entry.job(), tasks.subList(0, allowed));
    if (placed < allowed) {
      unplaced.add(new RoundPlan.TaskGroup(job, allowed - placed));
      if (entry.front()) {
        reserve(job);
      }
    }
  }

  /** Places the tasks in order as far as machines have room, and returns how many. */
  private int fill(JobView of, List<Integer> tasks) {
    Job job = of.job();
    boolean anywhere = !job.requiresSingleZone() && !job.requiresZoneSpread();
    if (anywhere && failures.stream().anyMatch(failure -> failure.covers(job))) {
      return 0;
    }
    Map<String, Integer> perZone =
        anywhere
            ? null
            : zones.computeIfAbsent(job.id(), key -> new HashMap<>(of.ownedTasksByZone()));
    String only = job.requiresSingleZone() ? togetherZone(job, perZone, tasks.size()) : null;
    if (job.requiresSingleZone() && only == null) {
      return 0;
    }
    // A bin only gets better while it is filled, so that the order found at first stays right, for
    // all jobs of the same demand: hundreds of single tasks must not look at every machine each.
    List<Bin> candidates =
        anywhere
            ? ranked.computeIfAbsent(Demand.of(job), key -> candidates(job, null))
            : candidates(job, only);
    boolean shunned = false;
    boolean filled = false;
    int placed = 0;
    for (Iterator<Bin> all = candidates.iterator(); all.hasNext() && placed < tasks.size(); ) {
      Bin bin = all.next();
      considered++;
      if (bin.reserved || !job.perTask().fitsIn(bin.free)) {
        all.remove();
        continue;
      }
      if (bin.machine.excludedJobs().contains(job.id())) {
        shunned = true;
        continue;
      }
      int room = tasks.size() - placed;
      if (perZone != null) {
        int there = perZone.getOrDefault(bin.machine.zone(), 0);
        room = Math.min(room, job.maxTasksPerZone() - there);
      }
      int count = room <= 0 ? 0 : job.perTask().countFittingIn(bin.free, room);
      for (int i = 0; i < count; i++) {
        assignments.add(
            new RoundPlan.Assignment(job.id(), tasks.get(placed++), bin.machine.name()));
      }
      if (count > 0) {
        bin.free = bin.free.minus(job.perTask().times(count));
        bin.added.add(job.image());
        filled |= bin.full();
        if (perZone != null) {
          perZone.merge(bin.machine.zone(), count, Integer::sum);
        }
      }
    }
    if (anywhere && !shunned && placed < tasks.size()) {
      failures.add(
          new Failure(job.perTask(), job.allowedTypes(), job.requiredZone(), job.allowsSpot()));
    }
    if (filled) {
      bins.removeIf(Bin::full);
    }
    return placed;
  }

  /** The machines with room for a task of the job, the best first. */
  private List<Bin> candidates(Job job, String zone) {
    List<Bin> result = new ArrayList<>();
    for (Bin bin : bins) {
      considered++;
      if (fits(job, bin) && (zone == null || zone.equals(bin.machine.zone()))) {
        bin.score = score(job, bin);
        result.add(bin);
      }
    }
    result.sort(Comparator.comparingDouble(bin -> bin.score));
    return new LinkedList<>(result);
  }

  /**
   * Keeps the machine that is nearest to having room for a task that goes before all others:
   * smaller work would otherwise fill each piece as it falls free.
   */
  private void reserve(Job job) {
    Bin nearest = null;
    for (Bin bin : bins) {
      MachineView machine = bin.machine;
      if (PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot())
          && !machine.excludedJobs().contains(job.id())
          && (nearest == null || bin.free.cpus() > nearest.free.cpus())) {
        nearest = bin;
      }
    }
    if (nearest != null) {
      nearest.reserved = true;
      bins.remove(nearest);
    }
  }

  private static boolean fits(Job job, Bin bin) {
    MachineView machine = bin.machine;
    return job.perTask().fitsIn(bin.free)
        && PlacementConstraints.allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /**
   * Smaller is better: waiting for the image counts first, then the room left over and the price,
   * so that dear machines fall idle first and can be given back.
   */
  private double score(Job job, Bin bin) {
    double fetch = bin.hasImage(job.image()) ? 0 : job.imageGb() / rate(bin) * 10;
    Resources left = bin.free.minus(job.perTask());
    MachineView machine = bin.machine;
    MachineType type = machine.type();
    double perCpu = type.hourlyPrice(machine.isSpot()) / Math.max(1, type.capacity().cpus());
    double taken = 0;
    for (Job other : scarce) {
      if (other != job
          && PlacementConstraints.allows(other, type, machine.zone(), machine.isSpot())) {
        Resources each = other.perTask();
        int places = each.countFittingIn(bin.free, MANY) - each.countFittingIn(left, MANY);
        taken = Math.max(taken, places * each.cpus());
      }
    }
    return fetch + left.cpus() + left.memoryGb() / 8 + CPUS_PER_PRICE * perCpu + SCARCE_CPU * taken;
  }

  /**
   * The tasks that run where those without room could, though other types would do for them.
   * Machines of those types may still be had when the ones that everybody wants are not.
   */
  private List<RoundPlan.TaskGroup> displacing() {
    List<MachineType> wanted = new ArrayList<>();
    for (MachineType type : view.catalog()) {
      if (unplaced.stream().anyMatch(item -> item.job().allowsType(type))) {
        wanted.add(type);
      }
    }
    if (wanted.isEmpty() || wanted.size() == view.catalog().size()) {
      return List.of();
    }
    Map<Job, Integer> counts = new LinkedHashMap<>();
    for (MachineView machine : view.machines()) {
      if (wanted.contains(machine.type())) {
        machine.runningTasks().forEach(task -> counts.merge(task.job(), 1, Integer::sum));
      }
    }
    List<RoundPlan.TaskGroup> result = new ArrayList<>();
    counts.forEach(
        (job, count) -> {
          if (view.catalog().stream()
              .anyMatch(type -> !wanted.contains(type) && job.allowsType(type))) {
            result.add(new RoundPlan.TaskGroup(job, count));
          }
        });
    return result;
  }

  private static double rate(Bin bin) {
    return Math.max(0.001, bin.machine.type().fetchGbPerSecond());
  }

  /** The zone a job that must stay together is in, or else the one with most room for it. */
  private String togetherZone(Job job, Map<String, Integer> perZone, int wanted) {
    for (Map.Entry<String, Integer> entry : perZone.entrySet()) {
      if (entry.getValue() > 0) {
        return entry.getKey();
      }
    }
    Map<String, Integer> room = new HashMap<>();
    for (Bin bin : bins) {
      if (fits(job, bin) && !bin.machine.excludedJobs().contains(job.id())) {
        int count = job.perTask().countFittingIn(bin.free, wanted);
        room.merge(bin.machine.zone(), count, Integer::sum);
      }
    }
    String best = null;
    for (Map.Entry<String, Integer> entry : room.entrySet()) {
      if (best == null
          || entry.getValue() > room.get(best)
          || entry.getValue().equals(room.get(best)) && entry.getKey().compareTo(best) < 0) {
        best = entry.getKey();
      }
    }
    return best;
  }
}
