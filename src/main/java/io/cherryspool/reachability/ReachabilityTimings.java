package io.cherryspool.reachability;

import java.time.Duration;

/**
 * The times that judgements rest on.
 *
 * @param peerHeartbeatInterval how often the nodes send heartbeats
 * @param workerHeartbeatOverdueAfter after so long without a report a worker is late
 * @param workerHeartbeatInterval how often workers report
 * @param taskLeaseExpiry how long after a worker was last kept alive its tasks are surely gone
 * @param leaderLease the length of a leader's lease while leaders do not change often
 * @param maxLeaderAuthority the longest that a leader may answer workers without the state service
 * @param stateCallTimeout how long a request to the state service may take
 * @param flapHalfLife in what time a penalty for flaps halves
 */
public record ReachabilityTimings(
    Duration peerHeartbeatInterval,
    Duration workerHeartbeatOverdueAfter,
    Duration workerHeartbeatInterval,
    Duration taskLeaseExpiry,
    Duration leaderLease,
    Duration maxLeaderAuthority,
    Duration stateCallTimeout,
    Duration flapHalfLife) {

  /** After three heartbeats that did not come a node is not heard. */
  public Duration peerHeartbeatTimeout() {
    return peerHeartbeatInterval.multipliedBy(3);
  }
}
