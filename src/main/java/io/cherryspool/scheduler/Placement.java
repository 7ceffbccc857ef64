package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.JobView;
import io.cherryspool.scheduler.ClusterView.MachineView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans a round: walks the queue and gives each task the best machine with room. A machine that has
 * the image, or is fetching it, is preferred, then the tightest fit.
 */
public final class Placement {
  /** How much room left over a cheaper hour of a CPU is worth. */
  private static final double CPUS_PER_PRICE = 100;

  private final ClusterView view;
  private final Map<String, Resources> use;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<String, Map<String, Integer>> zones = new HashMap<>();
  private final List<RoundPlan.Assignment> assignments = new ArrayList<>();
  private final List<RoundPlan.Unplaced> unplaced = new ArrayList<>();
  private final List<RoundPlan.Unplaced> atLimit = new ArrayList<>();

  private Placement(ClusterView view) {
    this.view = view;
    this.use = new HashMap<>(view.teamUse());
    for (MachineView machine : view.machines()) {
      if (machine.usable()) {
        bins.add(new Bin(machine));
      }
    }
  }

  public static RoundPlan plan(ClusterView view) {
    Placement placement = new Placement(view);
    QueueOrder.of(view).forEach(placement::place);
    return new RoundPlan(
        placement.assignments,
        Preemption.plan(
            view, placement.unplaced, placement.atLimit, placement.use, placement.assignments),
        placement.unplaced);
  }

  /** A machine while the plan fills it. */
  private static final class Bin {
    private final MachineView machine;
    private final Set<String> images;
    private Resources free;

    Bin(MachineView machine) {
      this.machine = machine;
      this.free = machine.free();
      this.images = new HashSet<>(machine.images());
    }
  }

  private void place(QueueOrder.Entry entry) {
    JobView view = entry.job();
    Job job = view.job();
    Map<String, Integer> perZone =
        zones.computeIfAbsent(job.id(), key -> new HashMap<>(view.perZone()));
    Team team = this.view.teams().get(job.team());
    int left = entry.tasks().size();
    for (int task : entry.tasks()) {
      Resources after = use.getOrDefault(job.team(), Resources.NONE).plus(job.perTask());
      if (team == null || !team.allows(after)) {
        atLimit.add(new RoundPlan.Unplaced(job, left));
        return;
      }
      Bin best = best(job, perZone, left);
      if (best == null) {
        unplaced.add(new RoundPlan.Unplaced(job, allowed(team, job, left)));
        return;
      }
      best.free = best.free.minus(job.perTask());
      best.images.add(job.image());
      perZone.merge(best.machine.zone(), 1, Integer::sum);
      use.put(job.team(), after);
      assignments.add(new RoundPlan.Assignment(job.id(), task, best.machine.name()));
      left--;
    }
  }

  /** How many more tasks the team's limit lets run, and counts them as used. */
  private int allowed(Team team, Job job, int wanted) {
    Resources total = use.getOrDefault(job.team(), Resources.NONE);
    int count = 0;
    while (count < wanted && team.allows(total.plus(job.perTask()))) {
      total = total.plus(job.perTask());
      count++;
    }
    use.put(job.team(), total);
    return count;
  }

  private Bin best(Job job, Map<String, Integer> perZone, int wanted) {
    String only = job.oneZone() ? togetherZone(job, perZone, wanted) : null;
    if (job.oneZone() && only == null) {
      return null;
    }
    Bin best = null;
    double bestScore = Double.MAX_VALUE;
    for (Bin bin : bins) {
      if (!fits(job, bin)
          || only != null && !only.equals(bin.machine.zone())
          || perZone.getOrDefault(bin.machine.zone(), 0) >= job.zoneShare()) {
        continue;
      }
      double score = score(job, bin);
      if (score < bestScore) {
        best = bin;
        bestScore = score;
      }
    }
    return best;
  }

  private static boolean fits(Job job, Bin bin) {
    MachineView machine = bin.machine;
    return job.perTask().fitsIn(bin.free)
        && Rules.allows(job, machine.type(), machine.zone(), machine.spot())
        && !machine.shunnedBy().contains(job.id());
  }

  /**
   * Smaller is better: waiting for the image counts first, then the room left over and the price,
   * so that dear machines fall idle first and can be given back.
   */
  private static double score(Job job, Bin bin) {
    double fetch = bin.images.contains(job.image()) ? 0 : job.imageGb() / rate(bin) * 10;
    Resources left = bin.free.minus(job.perTask());
    MachineView machine = bin.machine;
    MachineType type = machine.type();
    double perCpu = type.price(machine.spot()) / Math.max(1, type.size().cpus());
    return fetch + left.cpus() + left.memoryGb() / 8 + CPUS_PER_PRICE * perCpu;
  }

  private static double rate(Bin bin) {
    return Math.max(0.001, bin.machine.type().fetchGbPerS());
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
      Resources free = bin.free;
      int count = 0;
      while (count < wanted && fits(job, bin) && job.perTask().fitsIn(free)) {
        free = free.minus(job.perTask());
        count++;
      }
      if (count > 0) {
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
