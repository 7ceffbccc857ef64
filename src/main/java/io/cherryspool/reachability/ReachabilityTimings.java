package io.cherryspool.reachability;

import java.time.Duration;

/**
 * The times that judgements rest on. It has eight components, because they are eight settings of
 * one deployment, which the rules combine in different ways.
 *
 * @param peerHeartbeatInterval how often controllers send heartbeats to one another
 * @param workerHeartbeatOverdueAfter after so long without a heartbeat a worker is late
 * @param workerHeartbeatInterval how often workers send heartbeats
 * @param taskLeaseExpiry how long after a worker's last renewal its tasks have surely ended
 * @param leaderLease the length of a leader's lease while leaders do not change often
 * @param maxLeaderAuthority the longest that a leader may answer workers without the state store
 * @param stateStoreCallTimeout how long a request to the state store may take
 * @param flapHalfLife in what time a penalty for flaps halves
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

  /** After this time without a heartbeat another controller counts as unreachable. */
  public Duration peerHeartbeatTimeout() {
    return peerHeartbeatInterval.multipliedBy(MAX_MISSED_PEER_HEARTBEATS);
  }
}
