package io.cherryspool.controller.timing;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.model.Durations;
import java.time.Duration;

/**
 * The durations that the safety of ownership rests on, from the settings.
 *
 * @param heartbeatInterval how often a worker sends a heartbeat
 * @param authority how long after sending its last confirmed renewal and reading a leader may keep
 *     workers alive, see {@link Settings#authority()}
 * @param workerLeaseExpiry how long after a worker was last kept alive its tasks have surely ended
 * @param stateStoreLease how long a leader's lease in the state store lasts without renewal
 * @param stateStoreTimeout after so long a call to the state store has failed
 * @param workerTimeout after so long a call to a worker has failed
 * @param cloudTimeout after so long a call to the cloud has failed
 */
public record Timings(
    Duration heartbeatInterval,
    Duration authority,
    Duration workerLeaseExpiry,
    Duration stateStoreLease,
    Duration stateStoreTimeout,
    Duration workerTimeout,
    Duration cloudTimeout) {

  private static final Duration MAX_WORKER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(5);

  /** Calls to the state store that fit into one lease of it. */
  private static final int CALLS_PER_STATE_STORE_LEASE = 4;

  /** After so long without a heartbeat a worker is late, whatever the deviation of its interval. */
  public Duration heartbeatLateAfter() {
    return Durations.divide(Durations.multiply(heartbeatInterval, 5), 4).plusMillis(250);
  }

  /**
   * How much later than this node another must have read the state store for this one to be the one
   * that is partitioned from it. Each reads at least four times in a lease.
   */
  public Duration staleReadLag() {
    return Durations.divide(stateStoreLease, 2);
  }

  /** Derives the durations from the deploy file's settings and the operators'. */
  public static Timings fromSettings(Settings settings, OperatorSettings operators) {
    Duration workerLease = settings.workerLease();
    Duration heartbeatInterval = settings.heartbeatInterval();
    Duration authority = settings.authority();
    // Where the cancel limit leaves little, leadership is renewed more often: stretching the
    // authority to the state store's lease instead would let cancelled tasks outlast the limit.
    Duration stateStoreLease =
        authority.compareTo(operators.stateStoreLease()) < 0
            ? authority
            : operators.stateStoreLease();
    return new Timings(
        heartbeatInterval,
        authority,
        workerLease.plus(workerLease.dividedBy(500)).plusMillis(500),
        stateStoreLease,
        stateStoreLease.dividedBy(CALLS_PER_STATE_STORE_LEASE),
        heartbeatInterval.compareTo(MAX_WORKER_TIMEOUT) < 0
            ? heartbeatInterval
            : MAX_WORKER_TIMEOUT,
        CLOUD_TIMEOUT);
  }
}
