package io.cherryspool.sim.fakes;

import java.time.Duration;

/**
 * The settings of fake workers.
 *
 * @param heartbeatInterval the time between heartbeats of a worker whose state has not changed
 * @param lease the time without a valid response to a heartbeat after which a worker kills its
 *     tasks
 * @param failureProbability the probability with which a task fails at random, independently of its
 *     job and its machine
 */
public record WorkerSettings(
    Duration heartbeatInterval, Duration lease, double failureProbability) {}
