package io.cherryspool.controller;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.model.Durations;
import java.time.Duration;

/**
 * The times that the safety of ownership rests on, from the settings.
 *
 * @param authority how long after sending its last confirmed renewal and reading a leader may keep
 *     workers alive, see {@link Settings#authority()}
 * @param lapse how long after a worker was last kept alive its tasks are surely gone
 */
public record Timings(
    Duration report,
    Duration authority,
    Duration lapse,
    Duration stateLease,
    Duration stateCall,
    Duration workerCall,
    Duration cloudCall) {

  /** After so long without a report a worker is late, whatever the deviation of its reports. */
  Duration late() {
    return Durations.divide(Durations.multiply(report, 5), 4).plusMillis(250);
  }

  /**
   * How much later than this node another must have read the state for this one to be the one that
   * is cut off. Each reads at least four times in a state lease.
   */
  Duration behind() {
    return Durations.divide(stateLease, 2);
  }

  public static Timings of(Settings settings, OperatorSettings operators) {
    Duration lease = settings.workerLease();
    Duration authority = settings.authority();
    // Where the cancel limit leaves little, leadership is renewed more often: stretching the
    // authority to the state lease instead would let cancelled tasks outlast the limit.
    Duration stateLease =
        authority.compareTo(operators.stateLease()) < 0 ? authority : operators.stateLease();
    Duration call = stateLease.dividedBy(4);
    return new Timings(
        settings.heartbeatInterval(),
        authority,
        lease.plus(lease.dividedBy(500)).plusMillis(500),
        stateLease,
        call,
        settings.heartbeatInterval().compareTo(Duration.ofSeconds(2)) < 0
            ? settings.heartbeatInterval()
            : Duration.ofSeconds(2),
        Duration.ofSeconds(5));
  }
}
