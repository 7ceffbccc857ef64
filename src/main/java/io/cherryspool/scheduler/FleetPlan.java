package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sizes the fleet after the work: what arrives has to be borne, and what waits has to be worked off
 * in about the time that a machine takes to boot, since a machine for work that will be over by
 * then is paid for nothing. Within that it rents the cheapest allowed machines for what found no
 * room, replaces ordinary machines by spot ones, and gives back what is beyond.
 */
public final class FleetPlan {
  /** The part of the fleet that the arriving work should fill; the rest takes the ups and downs. */
  private static final double FILL = 0.85;

  /** A machine is closed only if that leaves so much more than the work needs. */
  private static final double MARGIN = 1.08;

  /** Replacements by spot machines under way at a time, as a part of the fleet. */
  private static final double RENEWAL = 0.1;

  /** What the cloud sells: a type in a zone, ordinary or spot. */
  public record Offer(MachineType type, String zone, boolean spot) {
    double perCpu() {
      return type.price(spot) / Math.max(1, type.size().cpus());
    }
  }

  /** A machine in use; {@code idleFor} is null while it owns tasks. */
  public record Up(String name, Offer offer, double usedCpus, Duration idleFor) {}

  /** Work in CPU seconds: a job's that arrived a short while ago, or what of it waits. */
  public record Load(Job job, double arrivedPerSecond, double waiting) {}

  /** What the fleet is planned from. {@code soldOut} holds the offers refused a short while ago. */
  public record View(
      List<RoundPlan.Unplaced> unplaced,
      List<Offer> incoming,
      List<Up> up,
      List<Load> loads,
      List<MachineType> catalog,
      Set<Offer> soldOut,
      Duration idleKeep) {}

  private final View view;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<Offer, Integer> crowds = new HashMap<>();
  private final Map<Offer, Integer> rentals = new LinkedHashMap<>();
  private final Map<Long, Double> needs = new HashMap<>();
  private final double[] capacity;

  private FleetPlan(View view) {
    this.view = view;
    this.capacity = new double[view.catalog().size()];
    for (Offer offer : view.incoming()) {
      bins.add(new Bin(offer));
      crowds.merge(offer, 1, Integer::sum);
      count(offer, 1);
    }
    view.up().forEach(machine -> count(machine.offer, 1));
  }

  /** What to rent, what to give back, and what to give no more work, so that it can go back. */
  public record Plan(Map<Offer, Integer> rentals, List<String> returns, Set<String> closing) {}

  public static Plan of(View view) {
    FleetPlan plan = new FleetPlan(view);
    for (RoundPlan.Unplaced item : view.unplaced()) {
      plan.pack(item.job(), item.tasks());
    }
    plan.renew();
    Set<String> closing = plan.closing();
    return new Plan(plan.rentals, plan.returns(closing), closing);
  }

  private void count(Offer offer, int sign) {
    int index = view.catalog().indexOf(offer.type());
    if (index >= 0) {
      capacity[index] += sign * offer.type().size().cpus();
    }
  }

  /** The types that a job can use, one bit each. */
  private long types(Job job) {
    long bits = 0;
    for (int i = 0; i < view.catalog().size(); i++) {
      if (job.allowsType(view.catalog().get(i))) {
        bits |= 1L << i;
      }
    }
    return bits;
  }

  /** The CPUs that the work which can use nothing but these types needs. */
  private double need(long types) {
    return needs.computeIfAbsent(
        types,
        key -> {
          double sum = 0;
          for (Load load : view.loads()) {
            long own = types(load.job);
            if ((own & ~types) == 0) {
              sum += load.arrivedPerSecond / FILL + load.waiting / horizon(own);
            }
          }
          return sum;
        });
  }

  /** Waiting work should be over about when a machine rented now would begin to help. */
  private double horizon(long types) {
    double boot = 1;
    for (int i = 0; i < view.catalog().size(); i++) {
      if ((types & 1L << i) != 0) {
        boot = Math.max(boot, view.catalog().get(i).boot().toMillis() / 1e3);
      }
    }
    return boot;
  }

  /** How many CPUs of these types are missing, or with a minus are too many. */
  private double missing(long types, double factor) {
    double have = 0;
    for (int i = 0; i < capacity.length; i++) {
      have += (types & 1L << i) != 0 ? capacity[i] : 0;
    }
    return need(types) * factor - have;
  }

  private static final class Bin {
    private final Offer offer;
    private Resources free;

    Bin(Offer offer) {
      this.offer = offer;
      this.free = offer.type().size();
    }

    /** Takes as many of the tasks as fit, and returns how many. */
    int fill(Job job, int wanted) {
      int count = job.perTask().timesIn(free, wanted);
      free = count == 0 ? free : free.minus(job.perTask().times(count));
      return count;
    }
  }

  private void pack(Job job, int tasks) {
    int left = tasks;
    for (int i = 0; i < bins.size() && left > 0; i++) {
      Bin bin = bins.get(i);
      if (allows(job, bin.offer)) {
        left -= bin.fill(job, left);
      }
    }
    long types = types(job);
    while (left > 0 && missing(types, 1) > 0) {
      Offer best = cheapest(job);
      if (best == null) {
        return;
      }
      Bin bin = new Bin(best);
      left -= bin.fill(job, left);
      bins.add(bin);
      rent(best, 1);
    }
  }

  private void rent(Offer offer, int count) {
    crowds.merge(offer, count, Integer::sum);
    rentals.merge(offer, count, Integer::sum);
    count(offer, count);
  }

  private Offer cheapest(Job job) {
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : view.catalog()) {
      int places = job.perTask().timesIn(type.size(), 1000);
      if (places == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type, zone, spot);
          if (allows(job, offer) && !view.soldOut().contains(offer)) {
            // The price of a task's place, with a little against crowding one zone.
            int crowd = crowds.getOrDefault(offer, 0);
            double cost = type.price(spot) / places * (1 + 0.001 * crowd);
            if (cost < bestCost) {
              best = offer;
              bestCost = cost;
            }
          }
        }
      }
    }
    return best;
  }

  /**
   * Rents spot machines in place of ordinary ones that are still needed; those are closed when the
   * others are up. Only work that may run on spot machines counts.
   */
  private void renew() {
    Map<MachineType, Integer> ordinary = new LinkedHashMap<>();
    double spot = 0;
    for (Up machine : view.up()) {
      if (machine.offer.spot()) {
        spot += machine.offer.type().size().cpus();
      } else {
        ordinary.merge(machine.offer.type(), 1, Integer::sum);
      }
    }
    for (Map.Entry<Offer, Integer> entry : crowds.entrySet()) {
      Offer offer = entry.getKey();
      spot += offer.spot() ? entry.getValue() * offer.type().size().cpus() : 0;
    }
    double all = 0;
    double able = 0;
    for (Load load : view.loads()) {
      all += load.arrivedPerSecond;
      able += load.job.spotAllowed() ? load.arrivedPerSecond : 0;
    }
    double wanted = all <= 0 ? 0 : need((1L << capacity.length) - 1) * MARGIN * able / all - spot;
    int most = (int) Math.ceil(RENEWAL * view.up().size()) - view.incoming().size();
    for (Map.Entry<MachineType, Integer> entry : ordinary.entrySet()) {
      MachineType type = entry.getKey();
      int count = (int) Math.min(wanted / type.size().cpus(), Math.min(most, entry.getValue()));
      for (String zone : type.zones()) {
        Offer offer = new Offer(type, zone, true);
        if (count > 0 && !view.soldOut().contains(offer)) {
          rent(offer, count);
          return;
        }
      }
    }
  }

  /** The dearest machines beyond the need, the emptiest first. */
  private Set<String> closing() {
    List<Up> candidates = new ArrayList<>(view.up());
    candidates.sort(
        Comparator.comparingDouble((Up machine) -> -machine.offer.perCpu())
            .thenComparingDouble(Up::usedCpus)
            .thenComparing(Up::name));
    Set<Long> masks = new LinkedHashSet<>();
    view.loads().forEach(load -> masks.add(types(load.job)));
    Set<String> result = new LinkedHashSet<>();
    // Incoming machines are not here yet.
    view.incoming().forEach(offer -> count(offer, -1));
    for (Up machine : candidates) {
      count(machine.offer, -1);
      int index = view.catalog().indexOf(machine.offer.type());
      boolean needed = false;
      for (long mask : masks) {
        needed |= (mask & 1L << index) != 0 && missing(mask, MARGIN) > 0;
      }
      if (needed) {
        count(machine.offer, 1);
      } else {
        result.add(machine.name);
      }
    }
    return result;
  }

  /** Machines that have been idle for long enough and are not needed, or for much longer. */
  private List<String> returns(Set<String> closing) {
    List<String> names = new ArrayList<>();
    for (Up machine : view.up()) {
      if (machine.idleFor == null) {
        continue;
      }
      Duration keep = view.idleKeep();
      Duration limit =
          closing.contains(machine.name)
              ? machine.offer.spot() ? keep : keep.dividedBy(4)
              : keep.multipliedBy(3);
      if (machine.idleFor.compareTo(limit) >= 0) {
        names.add(machine.name);
      }
    }
    return names;
  }

  private static boolean allows(Job job, Offer offer) {
    return Rules.allows(job, offer.type(), offer.zone(), offer.spot());
  }
}
