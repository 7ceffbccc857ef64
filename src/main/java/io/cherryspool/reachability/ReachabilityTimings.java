package io.cherryspool.reachability;

import java.time.Duration;

/**
 * The times that judgements rest on.
 *
 * @param heartbeat how often the nodes send heartbeats
 * @param late after so long without a report a worker is late
 * @param report how often workers report
 * @param lapse how long after a worker was last kept alive its tasks are surely gone
 * @param stateLease the length of a leader's lease while leaders do not change often
 * @param authority the longest that a leader may answer workers without the state service
 * @param stateCall how long a request to the state service may take
 * @param halfLife in what time a penalty for flaps halves
 */
public record ReachabilityTimings(
    Duration heartbeat,
    Duration late,
    Duration report,
    Duration lapse,
    Duration stateLease,
    Duration authority,
    Duration stateCall,
    Duration halfLife) {

  /** After three heartbeats that did not come a node is not heard. */
  public Duration heartbeatLimit() {
    return heartbeat.multipliedBy(3);
  }
}
