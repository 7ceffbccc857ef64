package io.cherryspool.scheduler;

import io.cherryspool.model.Durations;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.scheduler.FleetDemand.MachineSelector;
import io.cherryspool.scheduler.ScalingPlanner.ActiveMachine;
import io.cherryspool.scheduler.ScalingPlanner.FleetView;
import io.cherryspool.scheduler.ScalingPlanner.JobDemand;
import io.cherryspool.scheduler.ScalingPlanner.Offering;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Chooses the machines to request. */
final class ScaleOutPlanner {
  /**
   * Maximum number of replacement spot instances that are being provisioned, as a fraction of the
   * active machines.
   */
  private static final double MAX_REPLACEMENT_FRACTION = 0.1;

  /**
   * Age beyond which machines are requested for a job regardless of the computed demand, as a
   * multiple of the backlog drain time.
   */
  private static final int OVERDUE_DRAIN_TIMES = 2;

  private final FleetView view;
  private final FleetDemand demand;
  private final PlannedFleet fleet;

  /**
   * Creates a planner.
   *
   * @param fleet the fleet, to which the planner adds its requests
   */
  ScaleOutPlanner(FleetView view, FleetDemand demand, PlannedFleet fleet) {
    this.view = view;
    this.demand = demand;
    this.fleet = fleet;
  }

  /** Plans all requests and adds them to the fleet. */
  void plan() {
    for (RoundPlan.TaskGroup group : view.unschedulable()) {
      requestFor(group.job(), group.taskCount());
    }
    requestForRelocatable();
    requestSpotReplacements();
  }

  /**
   * Requests machines for the tasks while the demand exceeds the fleet's CPUs, or without this
   * limit if the job is overdue.
   */
  private void requestFor(Job job, int tasks) {
    int left = fleet.placeOnProvisioning(job, tasks, Set.of());
    MachineSelector selector = demand.selectorOf(job);
    boolean isOverdue = isOverdue(job, selector);
    double cpus = fleet.totalCpus(selector, demand);
    while (left > 0) {
      Optional<Offering> best = fleet.cheapestOffering(job, Set.of());
      if (best.isEmpty()
          || (!isOverdue
              && demand.demandFor(selector).requiredCpus(costWeight(best.get())) <= cpus)) {
        return;
      }
      left = fleet.requestAndPlace(job, left, best.get());
      cpus += best.get().type().capacity().cpus();
    }
  }

  /**
   * Whether the job has waited so long that machines are requested for it regardless of the demand.
   */
  private boolean isOverdue(Job job, MachineSelector selector) {
    Duration age = Duration.between(job.submittedAt(), view.now());
    return age.compareTo(Durations.multiply(demand.backlogDrainTime(selector), OVERDUE_DRAIN_TIMES))
        > 0;
  }

  /**
   * Returns the ratio of the offering's price to that of a spot instance of its type, at least 1.
   */
  private static double costWeight(Offering offering) {
    MachineType type = offering.type();
    return Math.max(1, type.hourlyPrice(offering.isSpot()) / type.hourlyPrice(true));
  }

  /**
   * Requests machines of other types for the jobs whose running tasks occupy machines that
   * unschedulable tasks need. Later tasks of these jobs then run on the requested machines. Does
   * nothing unless unschedulable tasks lack an available offering.
   */
  private void requestForRelocatable() {
    Optional<Set<MachineType>> found = contendedTypes();
    if (found.isEmpty()) {
      return;
    }
    Set<MachineType> contendedTypes = found.get();
    for (RoundPlan.TaskGroup group : view.relocatable()) {
      Job job = group.job();
      int left = fleet.placeOnProvisioning(job, group.taskCount(), contendedTypes);
      while (left > 0) {
        Optional<Offering> best = fleet.cheapestOffering(job, contendedTypes);
        if (best.isEmpty()) {
          break;
        }
        left = fleet.requestAndPlace(job, left, best.get());
      }
    }
  }

  /**
   * Returns the machine types that unschedulable jobs without an available offering could use;
   * empty if there is no such job. Jobs that fit no type of the catalog are ignored, since no
   * instance would help them.
   */
  private Optional<Set<MachineType>> contendedTypes() {
    Set<MachineType> result = new LinkedHashSet<>();
    for (RoundPlan.TaskGroup group : view.unschedulable()) {
      Job job = group.job();
      MachineSelector selector = demand.selectorOf(job);
      if (fleet.cheapestOffering(job, Set.of()).isEmpty()
          && demand.demandFor(selector).requiredCpus(1) > fleet.totalCpus(selector, demand)) {
        for (MachineType type : view.catalog()) {
          if (job.allowsType(type)) {
            result.add(type);
          }
        }
      }
    }
    return result.isEmpty() ? Optional.empty() : Optional.of(result);
  }

  /**
   * Requests spot instances of one type to replace on-demand instances that are still needed. The
   * on-demand instances are drained once the spot instances are active. Only work that may run on
   * spot instances is considered.
   */
  private void requestSpotReplacements() {
    double missingSpotCpus = missingSpotCpus();
    int maxReplacements =
        (int) Math.ceil(MAX_REPLACEMENT_FRACTION * view.activeMachines().size())
            - view.provisioning().size();
    for (Map.Entry<MachineType, Integer> entry : onDemandCounts().entrySet()) {
      MachineType type = entry.getKey();
      int count =
          (int)
              Math.min(
                  missingSpotCpus / type.capacity().cpus(),
                  Math.min(maxReplacements, entry.getValue()));
      if (count > 0 && requestSpot(type, count)) {
        return;
      }
    }
  }

  /** Returns the number of active on-demand instances by type. */
  private Map<MachineType, Integer> onDemandCounts() {
    Map<MachineType, Integer> result = new LinkedHashMap<>();
    for (ActiveMachine machine : view.activeMachines()) {
      if (!machine.offering().isSpot()) {
        result.merge(machine.offering().type(), 1, Integer::sum);
      }
    }
    return result;
  }

  /**
   * Requests spot instances in the first zone where they are available; returns whether there is
   * such a zone.
   */
  private boolean requestSpot(MachineType type, int count) {
    for (String zone : type.zones()) {
      Offering offering = new Offering(type, zone, true);
      if (fleet.isAvailable(offering)) {
        fleet.addRequest(offering, count);
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how many more CPUs of spot instances are needed by the work that may run on them,
   * beyond those that are active, being provisioned or requested; negative if there are more than
   * needed.
   */
  private double missingSpotCpus() {
    double arriving = 0;
    double arrivingForSpot = 0;
    for (JobDemand item : view.demands()) {
      arriving += item.arrivingCpus();
      arrivingForSpot += item.job().allowsSpot() ? item.arrivingCpus() : 0;
    }
    double needed =
        arriving <= 0
            ? 0
            : demand.demandFor(demand.anyMachine()).requiredCpus(1)
                * ScaleInPlanner.MIN_CAPACITY_TO_DEMAND_RATIO
                * arrivingForSpot
                / arriving;
    return needed - spotCpus();
  }

  /** Returns the CPUs of the spot instances that are active, being provisioned or requested. */
  private double spotCpus() {
    double cpus = 0;
    for (ActiveMachine machine : view.activeMachines()) {
      if (machine.offering().isSpot()) {
        cpus += machine.offering().type().capacity().cpus();
      }
    }
    for (Map.Entry<Offering, Integer> entry : fleet.provisioningCounts().entrySet()) {
      Offering offering = entry.getKey();
      cpus += offering.isSpot() ? entry.getValue() * offering.type().capacity().cpus() : 0;
    }
    return cpus;
  }
}
