package io.cherryspool.reachability;

import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.Optional;

/**
 * When a leader gives up a single machine to or from which nothing gets through. Only the confirmed
 * deletion that follows proves anything. Immutable.
 */
public final class MachineEvictionRule {
  /** So many heartbeats in a row are missing from a machine that is given up. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /** The same for a machine that owns tasks and does not answer a direct call either. */
  private static final int MAX_MISSED_HEARTBEATS_IF_UNRESPONSIVE = 2;

  /** For what a heartbeat may be late. */
  private static final Duration HEARTBEAT_GRACE = Duration.ofSeconds(2);

  /** A machine in a zone that is rather unreachable than dead is given up after so many leases. */
  private static final int UNREACHABLE_ZONE_LEASES = 2;

  private final Duration silenceTimeout;
  private final Duration unresponsiveTimeout;
  private final Duration taskLeaseExpiry;
  private final Duration unreachableZoneTimeout;

  /** Why a machine is given up. */
  public enum EvictionReason {
    /** Nothing arrives from it. */
    SILENT,
    /** Its heartbeats arrive, and it receives no answer. */
    NOT_RECEIVING
  }

  /**
   * What is known of a machine.
   *
   * @param silentFor how long ago its last message arrived
   * @param notReceivingFor for how long it has ignored answers; empty while it follows them
   * @param ownsTasks whether it owns tasks
   * @param isUnresponsive whether it has not answered a direct call, and nothing arrived since
   * @param isZoneEvictionSuspended whether its zone is rather unreachable than dead
   */
  public record Observation(
      Duration silentFor,
      Optional<Duration> notReceivingFor,
      boolean ownsTasks,
      boolean isUnresponsive,
      boolean isZoneEvictionSuspended) {}

  /** A rule with the deployment's times. */
  public MachineEvictionRule(ReachabilityTimings timings) {
    Duration interval = timings.workerHeartbeatInterval();
    silenceTimeout = Durations.multiply(interval, MAX_MISSED_HEARTBEATS).plus(HEARTBEAT_GRACE);
    unresponsiveTimeout = Durations.multiply(interval, MAX_MISSED_HEARTBEATS_IF_UNRESPONSIVE);
    taskLeaseExpiry = timings.taskLeaseExpiry();
    unreachableZoneTimeout = Durations.multiply(taskLeaseExpiry, UNREACHABLE_ZONE_LEASES);
  }

  /**
   * Why the machine is to be given up; empty while it is not.
   *
   * @param observerHealthyFor for how long this node has kept up; a longer silence may be its own
   */
  public Optional<EvictionReason> evaluate(Observation machine, Duration observerHealthyFor) {
    Duration timeout = silenceTimeout(machine);
    if (machine.silentFor().compareTo(timeout) > 0 && observerHealthyFor.compareTo(timeout) > 0) {
      return Optional.of(EvictionReason.SILENT);
    }
    if (machine.notReceivingFor().isPresent()
        && machine.notReceivingFor().get().compareTo(notReceivingTimeout(machine)) > 0) {
      return Optional.of(EvictionReason.NOT_RECEIVING);
    }
    return Optional.empty();
  }

  private Duration silenceTimeout(Observation machine) {
    if (machine.isZoneEvictionSuspended()) {
      return unreachableZoneTimeout;
    }
    return machine.ownsTasks() && machine.isUnresponsive() ? unresponsiveTimeout : silenceTimeout;
  }

  private Duration notReceivingTimeout(Observation machine) {
    if (machine.isZoneEvictionSuspended()) {
      return unreachableZoneTimeout;
    }
    return machine.ownsTasks() ? taskLeaseExpiry : silenceTimeout;
  }
}
