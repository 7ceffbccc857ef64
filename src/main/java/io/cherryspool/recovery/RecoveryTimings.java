package io.cherryspool.recovery;

import java.time.Duration;

/**
 * How long the steps of a recovery wait, and the limits of the state store.
 *
 * @param gatheringTime how long nodes receive one another's heartbeats before one of them rebuilds
 * @param maxWait how long a node that retains more is waited for, and how long an empty store is
 *     watched before it counts as a first installation
 * @param maxValueBytes the store's limit on the bytes of a value
 * @param maxTransactionChanges its limit on the changes of a transaction
 * @param changesPerSecond the rate at which a rebuild may make changes
 */
public record RecoveryTimings(
    Duration gatheringTime,
    Duration maxWait,
    int maxValueBytes,
    int maxTransactionChanges,
    double changesPerSecond) {

  /** After this time a node that should have detected the loss has had its chance. */
  Duration twiceGatheringTime() {
    return gatheringTime.multipliedBy(2);
  }
}
