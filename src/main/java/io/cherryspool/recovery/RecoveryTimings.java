package io.cherryspool.recovery;

import java.time.Duration;

/**
 * How long the steps of a recovery wait, and what they may use.
 *
 * @param gather how long nodes listen to one another before one of them rebuilds
 * @param patience how long a node that remembers more is waited for, and how long an empty service
 *     is watched before it counts as a first installation
 * @param valueBytes the state service's limit on a value
 * @param maxChanges its limit on the changes of a transaction
 * @param writeRate changes that may be made in a second
 */
public record RecoveryTimings(
    Duration gather, Duration patience, int valueBytes, int maxChanges, double writeRate) {}
