package io.cherryspool.scheduler;

import io.cherryspool.model.Durations;
import io.cherryspool.model.Job;
import io.cherryspool.scheduler.ScalingPlanner.FleetView;
import io.cherryspool.scheduler.ScalingPlanner.JobDemand;
import io.cherryspool.scheduler.ScalingPlanner.Offering;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** Computes how many CPUs the work needs, for each set of machines that jobs can use. */
final class FleetDemand {
  /** Maximum utilization of the fleet by arriving work. */
  private static final double MAX_UTILIZATION = 0.9;

  /**
   * Headroom of the fleet in standard deviations of the CPUs in use. The CPUs used by a few large
   * jobs deviate far more from their mean, relative to it, than those used by many small jobs.
   */
  private static final double HEADROOM_DEVIATIONS = 0.7;

  private static final Duration MIN_BOOT_TIME = Duration.ofSeconds(1);

  private final FleetView view;
  private final Map<MachineSelector, CpuDemand> demands = new HashMap<>();

  FleetDemand(FleetView view) {
    this.view = view;
  }

  /**
   * Selects the machines that a job's constraints allow.
   *
   * @param typeBits the allowed machine types as a bit set, indexed by position in the catalog
   * @param zone the only allowed zone, null for any
   */
  record MachineSelector(long typeBits, String zone, boolean allowsSpot) {

    /** Whether the other selector allows every machine that this one allows. */
    boolean isSubsetOf(MachineSelector other) {
      return (typeBits & ~other.typeBits) == 0
          && (other.zone == null || other.zone.equals(zone))
          && (other.allowsSpot || !allowsSpot);
    }

    boolean allowsType(int index) {
      return (typeBits & 1L << index) != 0;
    }

    // Written by hand, since generated record methods are linked at run time; see "Start-up" in
    // docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof MachineSelector other
          && typeBits == other.typeBits
          && allowsSpot == other.allowsSpot
          && Objects.equals(zone, other.zone);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * Long.hashCode(typeBits) + Objects.hashCode(zone))
          + Boolean.hashCode(allowsSpot);
    }
  }

  /**
   * The CPUs that a set of jobs needs.
   *
   * @param averageCpus the CPUs that arriving work uses on average
   * @param headroomCpus the CPUs needed in addition, for peaks of arriving work and for waiting
   *     work
   */
  record CpuDemand(double averageCpus, double headroomCpus) {

    /**
     * Returns the CPUs to provide on machines of the given cost. The more expensive the machines,
     * the less headroom is provided on them, so that peaks and waiting work are served more slowly.
     *
     * @param costWeight the ratio of the machines' price to that of the cheapest machines
     */
    double requiredCpus(double costWeight) {
      return averageCpus + headroomCpus / costWeight;
    }
  }

  /** Returns the selector of the machines that the job's constraints allow. */
  MachineSelector selectorOf(Job job) {
    long bits = 0;
    for (int i = 0; i < view.catalog().size(); i++) {
      if (job.allowsType(view.catalog().get(i))) {
        bits |= 1L << i;
      }
    }
    return new MachineSelector(bits, job.requiredZone(), job.allowsSpot());
  }

  /** Returns the selector of all machines. */
  MachineSelector anyMachine() {
    return new MachineSelector((1L << view.catalog().size()) - 1, null, true);
  }

  /** Whether the selector allows machines of the offering. */
  boolean selects(MachineSelector selector, Offering offering) {
    int index = view.catalog().indexOf(offering.type());
    return index >= 0
        && selector.allowsType(index)
        && (selector.zone == null || selector.zone.equals(offering.zone()))
        && (selector.allowsSpot || !offering.isSpot());
  }

  /** Returns the demand of all jobs that can use only machines of this selector. */
  CpuDemand demandFor(MachineSelector selector) {
    return demands.computeIfAbsent(selector, this::sumDemand);
  }

  private CpuDemand sumDemand(MachineSelector selector) {
    double arriving = 0;
    double waiting = 0;
    double variance = 0;
    for (JobDemand demand : view.demands()) {
      if (selectorOf(demand.job()).isSubsetOf(selector)) {
        arriving += demand.arrivingCpus();
        waiting += demand.waitingCpuSeconds();
        variance += demand.cpuVariance();
      }
    }
    double headroom =
        Math.max(arriving / MAX_UTILIZATION - arriving, HEADROOM_DEVIATIONS * Math.sqrt(variance));
    return new CpuDemand(
        arriving, headroom + waiting / backlogDrainTime(selector).toMillis() * 1000);
  }

  /**
   * Returns the time in which waiting work should be complete: one and a half times the longest
   * boot time of the selected machine types, which is about when a machine requested now would
   * begin to help.
   */
  Duration backlogDrainTime(MachineSelector selector) {
    Duration longestBoot = MIN_BOOT_TIME;
    for (int i = 0; i < view.catalog().size(); i++) {
      Duration bootTime = view.catalog().get(i).bootTime();
      if (selector.allowsType(i) && bootTime.compareTo(longestBoot) > 0) {
        longestBoot = bootTime;
      }
    }
    return longestBoot.plus(Durations.divide(longestBoot, 2));
  }
}
