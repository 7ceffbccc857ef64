package io.cherryspool.recovery;

import java.time.Duration;

/**
 * How long the steps of a recovery wait, and what they may use.
 *
 * @param gatheringTime how long nodes listen to one another before one of them rebuilds
 * @param maxWait how long a node that remembers more is waited for, and how long an empty service
 *     is watched before it counts as a first installation
 * @param maxValueBytes the state service's limit on a value
 * @param maxTransactionChanges its limit on the changes of a transaction
 * @param changesPerSecond changes that may be made in a second
 */
public record RecoveryTimings(
    Duration gatheringTime,
    Duration maxWait,
    int maxValueBytes,
    int maxTransactionChanges,
    double changesPerSecond) {}
