package io.cherryspool.reachability;

import io.cherryspool.model.Durations;
import java.time.Duration;
import java.util.Optional;

/**
 * When a leader gives up a single machine that it does not hear, or that does not hear it. Only the
 * confirmed deletion that follows is proof of anything.
 */
public final class MachineRule {
  private final Duration usual;
  private final Duration mute;
  private final Duration lapse;
  private final Duration cutOff;

  /** Why a machine is given up. */
  public enum Fault {
    SILENT,
    DEAF
  }

  /**
   * What is known of a machine.
   *
   * @param silentFor how long ago its last message came
   * @param deafFor for how long answers have gone unheeded; empty while they are heeded
   * @param owns whether it owns tasks
   * @param mute whether it has not answered a direct call, and nothing was heard since
   * @param zoneHeld whether its zone is rather cut off
   */
  public record Signs(
      Duration silentFor,
      Optional<Duration> deafFor,
      boolean owns,
      boolean mute,
      boolean zoneHeld) {}

  public MachineRule(ReachabilityTimings timings) {
    usual = Durations.multiply(timings.report(), 3).plusSeconds(2);
    mute = Durations.multiply(timings.report(), 2);
    lapse = timings.lapse();
    cutOff = Durations.multiply(lapse, 2);
  }

  /**
   * @param listeningFor for how long this node has kept up; a longer silence may be its own
   */
  public Optional<Fault> judge(Signs signs, Duration listeningFor) {
    Duration patience = silencePatience(signs);
    if (signs.silentFor().compareTo(patience) > 0 && listeningFor.compareTo(patience) > 0) {
      return Optional.of(Fault.SILENT);
    }
    if (signs.deafFor().isPresent() && signs.deafFor().get().compareTo(deafPatience(signs)) > 0) {
      return Optional.of(Fault.DEAF);
    }
    return Optional.empty();
  }

  private Duration silencePatience(Signs signs) {
    if (signs.zoneHeld()) {
      return cutOff;
    }
    return signs.owns() && signs.mute() ? mute : usual;
  }

  private Duration deafPatience(Signs signs) {
    if (signs.zoneHeld()) {
      return cutOff;
    }
    return signs.owns() ? lapse : usual;
  }
}
