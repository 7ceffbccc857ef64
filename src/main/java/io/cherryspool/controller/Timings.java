package io.cherryspool.controller;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import java.time.Duration;

/**
 * The times that the safety of ownership rests on, from the settings.
 *
 * @param authority how long after sending its last confirmed renewal a leader may keep workers
 *     alive. A task on a machine that only a cut-off leader still hears must be gone within the
 *     cancel limit, so authority, worker lease and margin together stay below it. The margins are
 *     for clock drift and for messages late within their deadlines.
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
    return report.multipliedBy(5).dividedBy(4).plusMillis(250);
  }

  /**
   * How much later than this node another must have read the state for this one to be the one that
   * is cut off. Each reads at least four times in a state lease.
   */
  Duration behind() {
    return stateLease.dividedBy(2);
  }

  public static Timings of(Settings settings, OperatorSettings operators) {
    Duration lease = settings.workerLease();
    Duration margin = settings.cancelWithin().dividedBy(20).plusSeconds(1);
    Duration authority = settings.cancelWithin().minus(lease).minus(margin.multipliedBy(2));
    if (authority.compareTo(operators.stateLease()) < 0) {
      authority = operators.stateLease();
    }
    Duration call = operators.stateLease().dividedBy(4);
    return new Timings(
        settings.report(),
        authority,
        lease.plus(lease.dividedBy(500)).plusMillis(500),
        operators.stateLease(),
        call,
        settings.report().compareTo(Duration.ofSeconds(2)) < 0
            ? settings.report()
            : Duration.ofSeconds(2),
        Duration.ofSeconds(5));
  }
}
