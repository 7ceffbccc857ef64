package io.cherryspool.reachability;

import java.time.Duration;

/**
 * The timings on which verdicts depend. The record has eight components because they are eight
 * settings of one deployment, which the rules combine in different ways.
 *
 * @param peerHeartbeatInterval how often controllers send heartbeats to one another
 * @param workerHeartbeatOverdueAfter how long after a worker's last heartbeat the next one counts
 *     as late
 * @param workerHeartbeatInterval how often workers send heartbeats
 * @param taskLeaseExpiry how long after a worker's last lease renewal its tasks are certain to have
 *     ended
 * @param leaderLease the length of a leader's lease while leaders change rarely
 * @param maxLeaderAuthority the longest time for which a leader may answer workers without an
 *     answer from the state store
 * @param stateStoreCallTimeout the timeout of a request to the state store
 * @param flapHalfLife the time in which a penalty for flaps halves
 */
public record ReachabilityTimings(
    Duration peerHeartbeatInterval,
    Duration workerHeartbeatOverdueAfter,
    Duration workerHeartbeatInterval,
    Duration taskLeaseExpiry,
    Duration leaderLease,
    Duration maxLeaderAuthority,
    Duration stateStoreCallTimeout,
    Duration flapHalfLife) {

  private static final int MAX_MISSED_PEER_HEARTBEATS = 3;

  /** The time without a heartbeat after which another controller counts as unreachable. */
  public Duration peerHeartbeatTimeout() {
    return peerHeartbeatInterval.multipliedBy(MAX_MISSED_PEER_HEARTBEATS);
  }
}
