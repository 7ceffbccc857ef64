package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.FleetDemand.MachineSelector;
import io.cherryspool.scheduler.ScalingPlanner.ActiveMachine;
import io.cherryspool.scheduler.ScalingPlanner.FleetView;
import io.cherryspool.scheduler.ScalingPlanner.Offering;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The fleet that results from a scaling plan: active machines, machines that are being provisioned,
 * and machines that the plan requests. Tasks are placed on machines of the last two kinds, to find
 * out how many more machines they need.
 */
final class PlannedFleet {
  /**
   * Fraction of the price that is added for each machine of the same offering that is being
   * provisioned. It spreads machines over zones.
   */
  private static final double SPREAD_SURCHARGE = 0.001;

  /** Maximum number of a job's task slots that are counted on one machine. */
  private static final int MAX_SLOTS_PER_MACHINE = 1000;

  private final FleetView view;
  private final List<ProvisioningMachine> provisioning = new ArrayList<>();
  private final Map<Offering, Integer> provisioningCounts = new HashMap<>();
  private final Map<Offering, Integer> machineCounts = new LinkedHashMap<>();
  private final Map<Offering, Integer> requestedCounts = new LinkedHashMap<>();

  PlannedFleet(FleetView view) {
    this.view = view;
    for (Offering offering : view.provisioning()) {
      provisioning.add(new ProvisioningMachine(offering));
      provisioningCounts.merge(offering, 1, Integer::sum);
      machineCounts.merge(offering, 1, Integer::sum);
    }
    for (ActiveMachine machine : view.activeMachines()) {
      machineCounts.merge(machine.offering(), 1, Integer::sum);
    }
  }

  /** A machine that is not active yet, with the resources that its planned tasks leave free. */
  private static final class ProvisioningMachine {
    private final Offering offering;
    private Resources free;

    ProvisioningMachine(Offering offering) {
      this.offering = offering;
      this.free = offering.type().capacity();
    }

    /** Places as many of the tasks as fit, and returns their number. */
    int place(Job job, int tasks) {
      int count = job.perTask().countFittingIn(free, tasks);
      if (count > 0) {
        free = free.minus(job.perTask().times(count));
      }
      return count;
    }
  }

  /**
   * Returns the number of machines to request by offering, in the order in which they were planned.
   */
  Map<Offering, Integer> requestedCounts() {
    return requestedCounts;
  }

  /** Returns the number of machines that are being provisioned or requested, by offering. */
  Map<Offering, Integer> provisioningCounts() {
    return provisioningCounts;
  }

  /** Returns the CPUs of all machines that the selector allows. */
  double totalCpus(MachineSelector selector, FleetDemand demand) {
    double cpus = 0;
    for (Map.Entry<Offering, Integer> entry : machineCounts.entrySet()) {
      if (demand.selects(selector, entry.getKey())) {
        cpus += entry.getValue() * entry.getKey().type().capacity().cpus();
      }
    }
    return cpus;
  }

  /** Returns the CPUs of the active machines that the selector allows. */
  double activeCpus(MachineSelector selector, FleetDemand demand) {
    double cpus = 0;
    for (Map.Entry<Offering, Integer> entry : machineCounts.entrySet()) {
      Offering offering = entry.getKey();
      if (demand.selects(selector, offering)) {
        int activeCount = entry.getValue() - provisioningCounts.getOrDefault(offering, 0);
        cpus += activeCount * offering.type().capacity().cpus();
      }
    }
    return cpus;
  }

  /** Adds a request for machines to the plan. */
  void addRequest(Offering offering, int count) {
    provisioningCounts.merge(offering, count, Integer::sum);
    requestedCounts.merge(offering, count, Integer::sum);
    machineCounts.merge(offering, count, Integer::sum);
  }

  /**
   * Places tasks on machines that are being provisioned or that {@link #requestAndPlace} has
   * requested.
   *
   * @param excludedTypes machine types on which the tasks must not be placed
   * @return the number of tasks that do not fit
   */
  int placeOnProvisioning(Job job, int tasks, Set<MachineType> excludedTypes) {
    int left = tasks;
    for (int i = 0; i < provisioning.size() && left > 0; i++) {
      ProvisioningMachine machine = provisioning.get(i);
      if (!excludedTypes.contains(machine.offering.type()) && machine.offering.isAllowedFor(job)) {
        left -= machine.place(job, left);
      }
    }
    return left;
  }

  /** Requests one machine, places tasks on it, and returns the number of tasks that do not fit. */
  int requestAndPlace(Job job, int tasks, Offering offering) {
    ProvisioningMachine machine = new ProvisioningMachine(offering);
    provisioning.add(machine);
    addRequest(offering, 1);
    return tasks - machine.place(job, tasks);
  }

  /**
   * Returns the available offering with the lowest price per task of the job.
   *
   * @param excludedTypes machine types that must not be chosen
   * @return the offering, or empty if no allowed offering is available
   */
  Optional<Offering> cheapestOffering(Job job, Set<MachineType> excludedTypes) {
    Offering best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : view.catalog()) {
      int slots = job.perTask().countFittingIn(type.capacity(), MAX_SLOTS_PER_MACHINE);
      if (slots == 0 || excludedTypes.contains(type)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean isSpot : new boolean[] {true, false}) {
          Offering offering = new Offering(type, zone, isSpot);
          if (offering.isAllowedFor(job) && isAvailable(offering)) {
            double cost = costPerSlot(offering, slots);
            if (cost < bestCost) {
              best = offering;
              bestCost = cost;
            }
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private double costPerSlot(Offering offering, int slots) {
    int provisioningCount = provisioningCounts.getOrDefault(offering, 0);
    return offering.type().hourlyPrice(offering.isSpot())
        / slots
        * (1 + SPREAD_SURCHARGE * provisioningCount);
  }

  /**
   * Whether the offering may be requested, that is, the cloud has not recently refused it for lack
   * of capacity.
   */
  boolean isAvailable(Offering offering) {
    return !view.unavailableOfferings().contains(offering);
  }
}
