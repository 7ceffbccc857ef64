package io.cherryspool.reachability;

import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides when a leader evicts a single machine that it does not reach, or that does not reach it.
 * The decision is only a guess that the machine is lost. The eviction deletes the machine, and its
 * tasks are free only once that deletion is confirmed. Immutable.
 */
public final class MachineEvictionRule {
  /** The number of heartbeat intervals without a message after which a machine is evicted. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /**
   * The number of heartbeat intervals without a message after which a machine is evicted that owns
   * tasks and does not answer a direct call.
   */
  private static final int MAX_MISSED_HEARTBEATS_IF_UNRESPONSIVE = 2;

  /** How late a heartbeat may be, for example because of network delays. */
  private static final Duration HEARTBEAT_GRACE = Duration.ofSeconds(2);

  /**
   * The time, in task leases, after which a machine is evicted if its zone is probably unreachable
   * rather than dead.
   */
  private static final int UNREACHABLE_ZONE_LEASES = 2;

  private final Duration silenceTimeout;
  private final Duration unresponsiveTimeout;
  private final Duration taskLeaseExpiry;
  private final Duration unreachableZoneTimeout;

  /** The reason for which a machine is evicted. */
  public enum EvictionReason {
    /** No message arrives from the machine. */
    SILENT,
    /** The machine's heartbeats arrive, but it does not receive the answers. */
    NOT_RECEIVING
  }

  /**
   * What the leader has observed of a machine.
   *
   * @param silentFor how long ago the last message from the machine arrived
   * @param notReceivingFor for how long the machine has not received answers; empty while it
   *     receives them
   * @param ownsTasks whether the machine owns tasks
   * @param isUnresponsive whether the machine has not answered a direct call and no message has
   *     arrived since
   * @param isZoneEvictionSuspended whether the machine's zone is probably unreachable rather than
   *     dead
   */
  public record Observation(
      Duration silentFor,
      Optional<Duration> notReceivingFor,
      boolean ownsTasks,
      boolean isUnresponsive,
      boolean isZoneEvictionSuspended) {}

  /** Creates a rule with the deployment's timings. */
  public MachineEvictionRule(ReachabilityTimings timings) {
    Duration interval = timings.workerHeartbeatInterval();
    silenceTimeout = Durations.multiply(interval, MAX_MISSED_HEARTBEATS).plus(HEARTBEAT_GRACE);
    unresponsiveTimeout = Durations.multiply(interval, MAX_MISSED_HEARTBEATS_IF_UNRESPONSIVE);
    taskLeaseExpiry = timings.taskLeaseExpiry();
    unreachableZoneTimeout = Durations.multiply(taskLeaseExpiry, UNREACHABLE_ZONE_LEASES);
  }

  /**
   * Returns why the machine should be evicted; empty if it should not be.
   *
   * @param observerHealthyFor for how long this node has run on time, see {@link LocalHealth}; if a
   *     machine has been silent for longer, the cause may be this node
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
