package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sizes the fleet for the demand: the work that arrives has to be sustained, and the work that
 * waits has to be completed in about the time that a machine takes to boot, since a machine for
 * work that is complete by then costs money for nothing. Within that, it requests the cheapest
 * allowed machines for unschedulable tasks ({@link ScaleOutPlanner}), replaces ordinary instances
 * by spot instances, and drains and deletes what exceeds the demand ({@link ScaleInPlanner}).
 */
public final class ScalingPlanner {
  private ScalingPlanner() {}

  /** What the cloud offers: a machine type in a zone, as spot or ordinary instance. */
  public record Offering(MachineType type, String zone, boolean isSpot) {

    /** Whether the job's constraints allow such a machine. */
    boolean isAllowedFor(Job job) {
      return PlacementConstraints.allows(job, type, zone, isSpot);
    }

    double hourlyPricePerCpu() {
      return type.hourlyPricePerCpu(isSpot);
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

  /**
   * A machine whose agent sends heartbeats.
   *
   * @param usedCpus the CPUs of the tasks that it owns
   * @param idleFor how long it has owned no task, null while it owns one
   */
  public record ActiveMachine(String name, Offering offering, double usedCpus, Duration idleFor) {}

  /**
   * The demand of a job. A job may have two, one for its arrival and one for what of it waits.
   *
   * @param arrivingCpus the CPUs that work like it keeps busy: CPU seconds that arrive each second
   * @param cpuVariance what jobs like it, each with all its tasks at once, add to the variance of
   *     the CPUs in use
   * @param waitingCpuSeconds the work that waits
   */
  public record JobDemand(
      Job job, double arrivingCpus, double cpuVariance, double waitingCpuSeconds) {}

  /**
   * Everything that the fleet is planned from.
   *
   * @param now the time of day
   * @param unschedulable the tasks for which the last round had no machines
   * @param relocatable the tasks that take such machines, though they could run on other types
   * @param provisioning the offerings of the machines that were requested and have not sent a
   *     heartbeat, one for each machine
   * @param demands the demand of arriving and of waiting work
   * @param catalog the machine types, at most 63
   * @param unavailableOfferings what the cloud refused for lack of capacity a short while ago
   * @param idleTimeout the age of idleness that the limits for deletion are multiples of
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
   * @param scaleOut how many machines to request, by offering, the most pressing first
   * @param scaleIn the names of the machines to delete
   * @param draining the names of all machines that exceed the demand, and should become idle
   */
  public record Decision(
      Map<Offering, Integer> scaleOut, List<String> scaleIn, Set<String> draining) {}

  /** The decision for the view. Equal views give equal decisions. */
  public static Decision decide(FleetView view) {
    FleetDemand demand = new FleetDemand(view);
    PlannedFleet fleet = new PlannedFleet(view);
    new ScaleOutPlanner(view, demand, fleet).plan();
    ScaleInPlanner scaleIn = new ScaleInPlanner(view, demand, fleet);
    Set<String> draining = scaleIn.machinesToDrain();
    return new Decision(fleet.requests(), scaleIn.machinesToDelete(draining), draining);
  }
}
