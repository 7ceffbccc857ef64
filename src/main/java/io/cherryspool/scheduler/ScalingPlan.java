package io.cherryspool.scheduler;

import io.cherryspool.model.Durations;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Sizes the fleet after the work: what arrives has to be borne, and what waits has to be worked off
 * in about the time that a machine takes to boot, since a machine for work that will be over by
 * then is paid for nothing. Within that it rents the cheapest allowed machines for what found no
 * room, replaces ordinary machines by spot ones, and gives back what is beyond.
 */
public final class ScalingPlan {
  /** The part of the fleet that the arriving work should fill at most. */
  private static final double FILL = 0.9;

  /**
   * How much of the usual deviation of the running work the fleet bears. A few large jobs at a time
   * go up and down by far more, as a part, than many small ones do.
   */
  private static final double DEVIATION = 0.7;

  /** A machine is closed only if that leaves so much more than the work needs. */
  private static final double MARGIN = 1.08;

  /** Replacements by spot machines under way at a time, as a part of the fleet. */
  private static final double RENEWAL = 0.1;

  /** What the cloud sells: a type in a zone, ordinary or spot. */
  public record Offering(MachineType type, String zone, boolean isSpot) {
    double perCpu() {
      return type.hourlyPrice(isSpot) / Math.max(1, type.capacity().cpus());
    }

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof Offering other
          && isSpot == other.isSpot
          && zone.equals(other.zone)
          && type.equals(other.type);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * type.hashCode() + zone.hashCode()) + Boolean.hashCode(isSpot);
    }
  }

  /** A machine in use; {@code idleFor} is null while it owns tasks. */
  public record ActiveMachine(String name, Offering offering, double usedCpus, Duration idleFor) {}

  /**
   * Work in CPU seconds: a job's that arrived a short while ago, or what of it waits. {@code
   * variance} is what jobs like it, each with all its tasks at once, add to that of the CPUs in
   * use.
   */
  public record JobDemand(
      Job job, double arrivingCpus, double cpuVariance, double waitingCpuSeconds) {}

  /** What the fleet is planned from. {@code soldOut} holds the offers refused a short while ago. */
  public record FleetView(
      Instant now,
      List<RoundPlan.TaskGroup> unschedulable,
      List<RoundPlan.TaskGroup> relocatable,
      List<Offering> provisioning,
      List<ActiveMachine> activeMachines,
      List<JobDemand> demands,
      List<MachineType> catalog,
      Set<Offering> unavailableOfferings,
      Duration idleTimeout) {}

  private final FleetView view;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<Offering, Integer> crowds = new HashMap<>();
  private final Map<Offering, Integer> rentals = new LinkedHashMap<>();
  private final Map<Offering, Integer> counts = new LinkedHashMap<>();
  private final Map<Places, Need> needs = new HashMap<>();

  private ScalingPlan(FleetView view) {
    this.view = view;
    for (Offering offer : view.provisioning()) {
      bins.add(new Bin(offer));
      crowds.merge(offer, 1, Integer::sum);
      count(offer, 1);
    }
    view.activeMachines().forEach(machine -> count(machine.offering, 1));
  }

  /** What to rent, what to give back, and what is to run empty, so that it can go back. */
  public record Decision(
      Map<Offering, Integer> scaleOut, List<String> scaleIn, Set<String> draining) {}

  public static Decision decide(FleetView view) {
    ScalingPlan plan = new ScalingPlan(view);
    for (RoundPlan.TaskGroup item : view.unschedulable()) {
      plan.pack(item.job(), item.taskCount());
    }
    plan.makeWay();
    plan.renew();
    Set<String> closing = plan.closing();
    return new Decision(plan.rentals, plan.returns(closing), closing);
  }

  private void count(Offering offer, int machines) {
    counts.merge(offer, machines, Integer::sum);
  }

  /** What a job can use: the types, one bit each, the zone or null for any, and spot machines. */
  private record Places(long types, String zone, boolean spot) {
    boolean within(Places other) {
      return (types & ~other.types) == 0
          && (other.zone == null || other.zone.equals(zone))
          && (other.spot || !spot);
    }

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof Places other
          && types == other.types
          && spot == other.spot
          && Objects.equals(zone, other.zone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * Long.hashCode(types) + Objects.hashCode(zone)) + Boolean.hashCode(spot);
    }
  }

  private Places places(Job job) {
    long bits = 0;
    for (int i = 0; i < view.catalog().size(); i++) {
      if (job.allowsType(view.catalog().get(i))) {
        bits |= 1L << i;
      }
    }
    return new Places(bits, job.requiredZone(), job.allowsSpot());
  }

  private boolean has(Places places, Offering offer) {
    int index = view.catalog().indexOf(offer.type());
    return index >= 0
        && (places.types & 1L << index) != 0
        && (places.zone == null || places.zone.equals(offer.zone()))
        && (places.spot || !offer.isSpot());
  }

  /** The CPUs that the work which can use no other places than these needs. */
  private Need need(Places places) {
    return needs.computeIfAbsent(
        places,
        key -> {
          double arriving = 0;
          double waiting = 0;
          double variance = 0;
          for (JobDemand load : view.demands()) {
            if (places(load.job).within(places)) {
              arriving += load.arrivingCpus;
              waiting += load.waitingCpuSeconds;
              variance += load.cpuVariance;
            }
          }
          double spare = Math.max(arriving / FILL - arriving, DEVIATION * Math.sqrt(variance));
          return new Need(arriving, spare + waiting / horizon(places).toMillis() * 1000);
        });
  }

  /** CPUs for what arrives, and for its ups and downs and what waits. */
  private record Need(double arriving, double peaks) {
    double cpus(double dearness) {
      return arriving + peaks / dearness;
    }
  }

  /** Waiting work should be over about when a machine rented now would begin to help. */
  private Duration horizon(Places places) {
    Duration boot = Duration.ofSeconds(1);
    for (int i = 0; i < view.catalog().size(); i++) {
      Duration one = view.catalog().get(i).bootTime();
      if ((places.types & 1L << i) != 0 && one.compareTo(boot) > 0) {
        boot = one;
      }
    }
    return boot.plus(Durations.divide(boot, 2));
  }

  private double capacity(Places places) {
    double cpus = 0;
    for (Map.Entry<Offering, Integer> entry : counts.entrySet()) {
      if (has(places, entry.getKey())) {
        cpus += entry.getValue() * entry.getKey().type().capacity().cpus();
      }
    }
    return cpus;
  }

  private static final class Bin {
    private final Offering offer;
    private Resources free;

    Bin(Offering offer) {
      this.offer = offer;
      this.free = offer.type().capacity();
    }

    /** Takes as many of the tasks as fit, and returns how many. */
    int fill(Job job, int wanted) {
      int count = job.perTask().countFittingIn(free, wanted);
      free = count == 0 ? free : free.minus(job.perTask().times(count));
      return count;
    }
  }

  /** Puts tasks on machines on their way, but of none of these types; returns how many are left. */
  private int fillIncoming(Job job, int tasks, Set<MachineType> but) {
    int left = tasks;
    for (int i = 0; i < bins.size() && left > 0; i++) {
      Bin bin = bins.get(i);
      if (!but.contains(bin.offer.type()) && allows(job, bin.offer)) {
        left -= bin.fill(job, left);
      }
    }
    return left;
  }

  /** Rents one machine and puts tasks on it; returns how many are left. */
  private int fillNew(Job job, int tasks, Offering offer) {
    Bin bin = new Bin(offer);
    bins.add(bin);
    rent(offer, 1);
    return tasks - bin.fill(job, tasks);
  }

  private void pack(Job job, int tasks) {
    int left = fillIncoming(job, tasks, Set.of());
    Places places = places(job);
    // Whatever the sums say, work does not wait for machines for good.
    boolean overdue =
        Duration.between(job.submittedAt(), view.now())
                .compareTo(Durations.multiply(horizon(places), 2))
            > 0;
    double have = capacity(places);
    while (left > 0) {
      Offering best = cheapest(job, Set.of());
      if (best == null || !overdue && need(places).cpus(dearness(best)) <= have) {
        return;
      }
      left = fillNew(job, left, best);
      have += best.type().capacity().cpus();
    }
  }

  /**
   * How much more the offer costs than the same machine as a spot one: work may wait longer then.
   */
  private static double dearness(Offering offer) {
    return Math.max(1, offer.type().hourlyPrice(offer.isSpot()) / offer.type().hourlyPrice(true));
  }

  /**
   * Where nothing more can be had for work without room, machines of other types are rented for the
   * tasks that run in its places; the next ones of their jobs then go there.
   */
  private void makeWay() {
    Set<MachineType> wanted = new LinkedHashSet<>();
    boolean soldOut = false;
    for (RoundPlan.TaskGroup item : view.unschedulable()) {
      Places places = places(item.job());
      if (cheapest(item.job(), Set.of()) == null && need(places).cpus(1) > capacity(places)) {
        soldOut = true;
        view.catalog().stream().filter(item.job()::allowsType).forEach(wanted::add);
      }
    }
    if (!soldOut) {
      return;
    }
    for (RoundPlan.TaskGroup item : view.relocatable()) {
      int left = fillIncoming(item.job(), item.taskCount(), wanted);
      while (left > 0) {
        Offering best = cheapest(item.job(), wanted);
        if (best == null) {
          break;
        }
        left = fillNew(item.job(), left, best);
      }
    }
  }

  private void rent(Offering offer, int count) {
    crowds.merge(offer, count, Integer::sum);
    rentals.merge(offer, count, Integer::sum);
    count(offer, count);
  }

  /** The cheapest offer for the job, but of none of the types to be left to others. */
  private Offering cheapest(Job job, Set<MachineType> but) {
    Offering best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : view.catalog()) {
      int places = job.perTask().countFittingIn(type.capacity(), 1000);
      if (places == 0 || but.contains(type)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offering offer = new Offering(type, zone, spot);
          if (allows(job, offer) && !view.unavailableOfferings().contains(offer)) {
            // The price of a task's place, with a little against crowding one zone.
            int crowd = crowds.getOrDefault(offer, 0);
            double cost = type.hourlyPrice(spot) / places * (1 + 0.001 * crowd);
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
    for (ActiveMachine machine : view.activeMachines()) {
      if (machine.offering.isSpot()) {
        spot += machine.offering.type().capacity().cpus();
      } else {
        ordinary.merge(machine.offering.type(), 1, Integer::sum);
      }
    }
    for (Map.Entry<Offering, Integer> entry : crowds.entrySet()) {
      Offering offer = entry.getKey();
      spot += offer.isSpot() ? entry.getValue() * offer.type().capacity().cpus() : 0;
    }
    double all = 0;
    double able = 0;
    for (JobDemand load : view.demands()) {
      all += load.arrivingCpus;
      able += load.job.allowsSpot() ? load.arrivingCpus : 0;
    }
    Places anywhere = new Places((1L << view.catalog().size()) - 1, null, true);
    double wanted = all <= 0 ? 0 : need(anywhere).cpus(1) * MARGIN * able / all - spot;
    int most = (int) Math.ceil(RENEWAL * view.activeMachines().size()) - view.provisioning().size();
    for (Map.Entry<MachineType, Integer> entry : ordinary.entrySet()) {
      MachineType type = entry.getKey();
      int count = (int) Math.min(wanted / type.capacity().cpus(), Math.min(most, entry.getValue()));
      for (String zone : type.zones()) {
        Offering offer = new Offering(type, zone, true);
        if (count > 0 && !view.unavailableOfferings().contains(offer)) {
          rent(offer, count);
          return;
        }
      }
    }
  }

  /** The dearest machines beyond the need, the emptiest first. */
  private Set<String> closing() {
    List<ActiveMachine> candidates = new ArrayList<>(view.activeMachines());
    candidates.sort(
        Comparator.comparingDouble((ActiveMachine machine) -> -machine.offering.perCpu())
            .thenComparingDouble(ActiveMachine::usedCpus)
            .thenComparing(ActiveMachine::name));
    Map<Places, Double> spare = new LinkedHashMap<>();
    Set<String> result = new LinkedHashSet<>();
    // Machines on their way are not here yet.
    crowds.forEach((offer, count) -> count(offer, -count));
    for (JobDemand load : view.demands()) {
      spare.computeIfAbsent(places(load.job), key -> capacity(key) - need(key).cpus(1) * MARGIN);
    }
    for (ActiveMachine machine : candidates) {
      double cpus = machine.offering.type().capacity().cpus();
      boolean needed = false;
      for (Map.Entry<Places, Double> entry : spare.entrySet()) {
        needed |= entry.getValue() < cpus && has(entry.getKey(), machine.offering);
      }
      if (!needed) {
        result.add(machine.name);
        spare.replaceAll((key, left) -> has(key, machine.offering) ? left - cpus : left);
      }
    }
    return result;
  }

  /** Machines that have been idle for long enough and are not needed, or for much longer. */
  private List<String> returns(Set<String> closing) {
    List<String> names = new ArrayList<>();
    for (ActiveMachine machine : view.activeMachines()) {
      if (machine.idleFor == null) {
        continue;
      }
      Duration keep = view.idleTimeout();
      Duration limit = Durations.multiply(keep, 4);
      if (closing.contains(machine.name)) {
        limit = machine.offering.isSpot() ? Durations.multiply(keep, 2) : Durations.divide(keep, 4);
      } else if (!view.unschedulable().isEmpty()) {
        // It is no use to the work that waits, and may stand in the way of machines that are.
        limit = keep;
      }
      if (machine.idleFor.compareTo(limit) >= 0) {
        names.add(machine.name);
      }
    }
    return names;
  }

  private static boolean allows(Job job, Offering offer) {
    return PlacementConstraints.allows(job, offer.type(), offer.zone(), offer.isSpot());
  }
}
