package io.cherryspool.controller.rounds;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The limits and intervals of rounds, from the settings.
 *
 * @param maxRoundInterval the maximum time between two rounds
 * @param maxSilence the time without a heartbeat after which no task is placed on a machine
 * @param halfLease half a worker's lease; no task is placed on a machine with less of its lease
 *     left
 * @param maxStartDelay the age at which a job that has not started may have one task placed before
 *     those of all other jobs
 * @param failureCap the number of failures of a task from which it is retried only after long waits
 * @param maxChanges the maximum number of changes in a transaction of the state store
 * @param deadlineMultiples the multiples of a job's deadline that the service-level objectives
 *     measure, in ascending order, by job class
 */
public record RoundLimits(
    Duration maxRoundInterval,
    Duration maxSilence,
    Duration halfLease,
    Duration maxStartDelay,
    int failureCap,
    int maxChanges,
    Map<String, List<Double>> deadlineMultiples) {}
