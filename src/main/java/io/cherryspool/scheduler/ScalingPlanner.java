package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans the size of the fleet by the demand. The fleet has to sustain the arriving work, and to
 * complete the waiting work in about the time that a machine takes to boot: machines requested to
 * complete it sooner would cost money for nothing, since the work would be complete before they
 * have booted. Within these limits, {@link ScaleOutPlanner} requests the cheapest allowed machines
 * for unschedulable tasks and replaces on-demand instances by spot instances, and {@link
 * ScaleInPlanner} drains and deletes machines that exceed the demand.
 */
public final class ScalingPlanner {
  private ScalingPlanner() {}

  /** An offering of the cloud: a machine type in a zone, as a spot or an on-demand instance. */
  public record Offering(MachineType type, String zone, boolean isSpot) {

    /** Whether the job's constraints allow machines of this offering. */
    boolean isAllowedFor(Job job) {
      return PlacementConstraints.allows(job, type, zone, isSpot);
    }

    double hourlyPricePerCpu() {
      return type.hourlyPricePerCpu(isSpot);
    }

    // Written by hand, since generated record methods are linked at run time; see "Start-up" in
    // docs/design.md.
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

  /**
   * A machine whose agent sends heartbeats.
   *
   * @param usedCpus the CPUs of the tasks that the machine owns
   * @param idleFor how long the machine has owned no task, null while it owns one
   */
  public record ActiveMachine(String name, Offering offering, double usedCpus, Duration idleFor) {}

  /**
   * The demand of a job. A job may have two demands, one for its arrival and one for its waiting
   * tasks.
   *
   * @param arrivingCpus the CPUs that jobs like this one keep busy, that is, the CPU seconds that
   *     arrive per second
   * @param cpuVariance the contribution to the variance of the CPUs in use by jobs like this one,
   *     each of which runs all its tasks at once
   * @param waitingCpuSeconds the work of the waiting tasks
   */
  public record JobDemand(
      Job job, double arrivingCpus, double cpuVariance, double waitingCpuSeconds) {}

  /**
   * The complete input of the planning of the fleet.
   *
   * @param now the wall-clock time
   * @param unschedulable the tasks for which the last round found no machines
   * @param relocatable the tasks that occupy machines which unschedulable tasks need, although they
   *     could run on other machine types
   * @param provisioning the offerings of the machines that were requested and have not sent a
   *     heartbeat, one element for each machine
   * @param demands the demands of arriving and of waiting work
   * @param catalog the machine types, at most 63
   * @param unavailableOfferings the offerings that the cloud recently refused for lack of capacity
   * @param idleTimeout the base idle time; a machine is deleted after it has been idle for a
   *     multiple or a fraction of this time
   */
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

  /**
   * The changes to make to the fleet.
   *
   * @param scaleOut the number of machines to request by offering, the most urgent first
   * @param scaleIn the names of the machines to delete
   * @param draining the names of all machines that exceed the demand and should become idle
   */
  public record Decision(
      Map<Offering, Integer> scaleOut, List<String> scaleIn, Set<String> draining) {}

  /** Returns the decision for the view. Equal views give equal decisions. */
  public static Decision decide(FleetView view) {
    FleetDemand demand = new FleetDemand(view);
    PlannedFleet fleet = new PlannedFleet(view);
    new ScaleOutPlanner(view, demand, fleet).plan();
    ScaleInPlanner scaleIn = new ScaleInPlanner(view, demand, fleet);
    Set<String> draining = scaleIn.machinesToDrain();
    return new Decision(fleet.requestedCounts(), scaleIn.machinesToDelete(draining), draining);
  }
}
