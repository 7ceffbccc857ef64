package io.cherryspool.controller.rounds;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The sizes and times of rounds, from the settings.
 *
 * @param maxRoundInterval the longest time between two rounds
 * @param maxSilence after so long without a heartbeat a machine is given no work
 * @param halfLease half a worker's lease; a machine that has less left is given no work
 * @param maxStartDelay the age at which a job that has not started goes before all others
 * @param failureCap how often a task may fail before it is tried only seldom
 * @param maxChanges the most changes in a transaction of the state store
 * @param deadlineMultiples by job class, the multiples of the deadline that the objectives name,
 *     rising
 */
public record RoundLimits(
    Duration maxRoundInterval,
    Duration maxSilence,
    Duration halfLease,
    Duration maxStartDelay,
    int failureCap,
    int maxChanges,
    Map<String, List<Double>> deadlineMultiples) {}
