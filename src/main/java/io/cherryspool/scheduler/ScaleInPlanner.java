package io.cherryspool.scheduler;

import io.cherryspool.model.Durations;
import io.cherryspool.scheduler.FleetDemand.MachineSelector;
import io.cherryspool.scheduler.ScalingPlanner.ActiveMachine;
import io.cherryspool.scheduler.ScalingPlanner.FleetView;
import io.cherryspool.scheduler.ScalingPlanner.JobDemand;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Chooses the machines to drain and to delete. */
final class ScaleInPlanner {
  /**
   * Minimum ratio of the CPUs of the remaining machines to the CPUs that the work needs, below
   * which no machine is drained.
   */
  static final double MIN_CAPACITY_TO_DEMAND_RATIO = 1.08;

  private static final Comparator<ActiveMachine> MOST_EXPENSIVE_FIRST =
      Comparator.comparingDouble((ActiveMachine machine) -> -machine.offering().hourlyPricePerCpu())
          .thenComparingDouble(ActiveMachine::usedCpus)
          .thenComparing(ActiveMachine::name);

  private final FleetView view;
  private final FleetDemand demand;
  private final PlannedFleet fleet;

  ScaleInPlanner(FleetView view, FleetDemand demand, PlannedFleet fleet) {
    this.view = view;
    this.demand = demand;
    this.fleet = fleet;
  }

  /**
   * Returns the names of the machines that exceed the demand, the most expensive first, and of
   * equally expensive ones those with the fewest CPUs in use. Machines that are not active yet do
   * not count as capacity for the demand.
   */
  Set<String> machinesToDrain() {
    Map<MachineSelector, Double> spareCpus = new LinkedHashMap<>();
    for (JobDemand item : view.demands()) {
      spareCpus.computeIfAbsent(
          demand.selectorOf(item.job()),
          key ->
              fleet.activeCpus(key, demand)
                  - demand.demandFor(key).requiredCpus(1) * MIN_CAPACITY_TO_DEMAND_RATIO);
    }
    List<ActiveMachine> candidates = new ArrayList<>(view.activeMachines());
    candidates.sort(MOST_EXPENSIVE_FIRST);
    Set<String> result = new LinkedHashSet<>();
    for (ActiveMachine machine : candidates) {
      if (!isNeeded(machine, spareCpus)) {
        result.add(machine.name());
        double cpus = machine.offering().type().capacity().cpus();
        spareCpus.replaceAll(
            (key, left) -> demand.selects(key, machine.offering()) ? left - cpus : left);
      }
    }
    return result;
  }

  /**
   * Whether some work that can use the machine would have too few CPUs without it.
   *
   * @param spareCpus the CPUs beyond the demand, by selector
   */
  private boolean isNeeded(ActiveMachine machine, Map<MachineSelector, Double> spareCpus) {
    double cpus = machine.offering().type().capacity().cpus();
    for (Map.Entry<MachineSelector, Double> entry : spareCpus.entrySet()) {
      if (entry.getValue() < cpus && demand.selects(entry.getKey(), machine.offering())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the names of the machines that have been idle for too long. */
  List<String> machinesToDelete(Set<String> draining) {
    List<String> names = new ArrayList<>();
    for (ActiveMachine machine : view.activeMachines()) {
      if (machine.idleFor() != null
          && machine.idleFor().compareTo(idleLimit(machine, draining)) >= 0) {
        names.add(machine.name());
      }
    }
    return names;
  }

  /** Returns how long the machine may be idle before it is deleted. */
  private Duration idleLimit(ActiveMachine machine, Set<String> draining) {
    Duration timeout = view.idleTimeout();
    if (draining.contains(machine.name())) {
      return machine.offering().isSpot()
          ? Durations.multiply(timeout, 2)
          : Durations.divide(timeout, 4);
    }
    if (!view.unschedulable().isEmpty()) {
      // The unschedulable tasks cannot use this idle machine, and it may take the place of a
      // machine that they could use.
      return timeout;
    }
    return Durations.multiply(timeout, 4);
  }
}
