package io.cherryspool.reachability;

import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.Optional;

/**
 * When a leader gives up a single machine that it does not hear, or that does not hear it. Only the
 * confirmed deletion that follows is proof of anything.
 */
public final class MachineEvictionRule {
  private final Duration usual;
  private final Duration mute;
  private final Duration lapse;
  private final Duration cutOff;

  /** Why a machine is given up. */
  public enum Fault {
    SILENT,
    NOT_RECEIVING
  }

  /**
   * What is known of a machine.
   *
   * @param silentFor how long ago its last message came
   * @param notReceivingFor for how long answers have gone unheeded; empty while they are heeded
   * @param ownsTasks whether it owns tasks
   * @param isUnresponsive whether it has not answered a direct call, and nothing was heard since
   * @param isZoneEvictionSuspended whether its zone is rather cut off
   */
  public record Observation(
      Duration silentFor,
      Optional<Duration> notReceivingFor,
      boolean ownsTasks,
      boolean isUnresponsive,
      boolean isZoneEvictionSuspended) {}

  public MachineEvictionRule(ReachabilityTimings timings) {
    usual = Durations.multiply(timings.workerHeartbeatInterval(), 3).plusSeconds(2);
    mute = Durations.multiply(timings.workerHeartbeatInterval(), 2);
    lapse = timings.taskLeaseExpiry();
    cutOff = Durations.multiply(lapse, 2);
  }

  /**
   * @param listeningFor for how long this node has kept up; a longer silence may be its own
   */
  public Optional<Fault> judge(Observation signs, Duration listeningFor) {
    Duration patience = silencePatience(signs);
    if (signs.silentFor().compareTo(patience) > 0 && listeningFor.compareTo(patience) > 0) {
      return Optional.of(Fault.SILENT);
    }
    if (signs.notReceivingFor().isPresent()
        && signs.notReceivingFor().get().compareTo(deafPatience(signs)) > 0) {
      return Optional.of(Fault.NOT_RECEIVING);
    }
    return Optional.empty();
  }

  private Duration silencePatience(Observation signs) {
    if (signs.isZoneEvictionSuspended()) {
      return cutOff;
    }
    return signs.ownsTasks() && signs.isUnresponsive() ? mute : usual;
  }

  private Duration deafPatience(Observation signs) {
    if (signs.isZoneEvictionSuspended()) {
      return cutOff;
    }
    return signs.ownsTasks() ? lapse : usual;
  }
}
