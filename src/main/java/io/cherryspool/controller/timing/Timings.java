package io.cherryspool.controller.timing;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.model.Durations;
import java.time.Duration;

/**
 * The times that the safety of ownership rests on, from the settings.
 *
 * @param authority how long after sending its last confirmed renewal and reading a leader may keep
 *     workers alive, see {@link Settings#authority()}
 * @param workerLeaseExpiry how long after a worker was last kept alive its tasks are surely gone
 */
public record Timings(
    Duration heartbeatInterval,
    Duration authority,
    Duration workerLeaseExpiry,
    Duration stateStoreLease,
    Duration stateStoreTimeout,
    Duration workerTimeout,
    Duration cloudTimeout) {

  /** After so long without a report a worker is late, whatever the deviation of its reports. */
  public Duration lateAfter() {
    return Durations.divide(Durations.multiply(heartbeatInterval, 5), 4).plusMillis(250);
  }

  /**
   * How much later than this node another must have read the state for this one to be the one that
   * is cut off. Each reads at least four times in a state lease.
   */
  public Duration staleReadLag() {
    return Durations.divide(stateStoreLease, 2);
  }

  public static Timings fromSettings(Settings settings, OperatorSettings operators) {
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
