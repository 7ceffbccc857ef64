package io.cherryspool.controller.timing;

import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import io.cherryspool.model.Durations;
import java.time.Duration;

/**
 * The durations on which the safety of task ownership depends, derived from the settings.
 *
 * @param heartbeatInterval how often a worker sends a heartbeat
 * @param maxLeaderAuthority how long a leader may renew the leases of workers, counted from when it
 *     sent the last successful requests that renewed its own lease and read the state store, see
 *     {@link Settings#maxLeaderAuthority()}
 * @param workerLeaseExpiry how long after the last renewal of a worker's lease its tasks have
 *     certainly ended
 * @param stateStoreLease how long a leader's lease in the state store lasts without renewal
 * @param stateStoreTimeout the timeout of calls to the state store
 * @param workerTimeout the timeout of calls to workers
 * @param cloudTimeout the timeout of calls to the cloud
 */
public record Timings(
    Duration heartbeatInterval,
    Duration maxLeaderAuthority,
    Duration workerLeaseExpiry,
    Duration stateStoreLease,
    Duration stateStoreTimeout,
    Duration workerTimeout,
    Duration cloudTimeout) {

  private static final Duration MAX_WORKER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(5);

  /** The number of consecutive state store calls that can time out within one state store lease. */
  private static final int CALLS_PER_STATE_STORE_LEASE = 4;

  /**
   * Returns how long after its last heartbeat a worker counts as late. This exceeds the heartbeat
   * interval by more than its normal deviation.
   */
  public Duration heartbeatLateAfter() {
    return Durations.divide(Durations.multiply(heartbeatInterval, 5), 4).plusMillis(250);
  }

  /**
   * Returns the maximum lag of this node's last state store read behind the last read of any other
   * node. A node with a longer lag counts as partitioned from the state store, since each node
   * reads at least four times per state store lease.
   */
  public Duration staleReadLag() {
    return Durations.divide(stateStoreLease, 2);
  }

  /** Derives the durations from the settings of the deploy file and those of the operators. */
  public static Timings fromSettings(Settings settings, OperatorSettings operators) {
    Duration workerLease = settings.workerLease();
    Duration heartbeatInterval = settings.heartbeatInterval();
    Duration authority = settings.maxLeaderAuthority();
    // If the cancel limit leaves less authority than the configured state store lease, the lease is
    // shortened, so leadership is renewed more often. Raising the authority instead would let
    // cancelled tasks run beyond the limit.
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
