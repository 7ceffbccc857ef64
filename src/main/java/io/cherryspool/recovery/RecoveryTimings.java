package io.cherryspool.recovery;

import java.time.Duration;

/**
 * How long the steps of a recovery wait, and the limits of the state store that it must respect.
 *
 * @param gatheringTime how long a node collects the other nodes' heartbeats before it decides
 *     whether to rebuild
 * @param maxWait how long a node waits for a preferred rebuilder that can't reach the state store,
 *     for the other nodes' contributions to a rebuild, and before it treats an empty state store as
 *     a first installation
 * @param maxValueBytes the maximum size of a value in the state store
 * @param maxTransactionChanges the maximum number of changes in a transaction of the state store
 * @param changesPerSecond the rate at which a rebuild may make changes
 */
public record RecoveryTimings(
    Duration gatheringTime,
    Duration maxWait,
    int maxValueBytes,
    int maxTransactionChanges,
    double changesPerSecond) {

  /**
   * The time after which this node no longer waits for a node that should have reacted to the loss.
   */
  Duration twiceGatheringTime() {
    return gatheringTime.multipliedBy(2);
  }
}
