package io.cherryspool.sim.fakes;

import java.time.Duration;

/**
 * How fake workers behave.
 *
 * @param heartbeatInterval between heartbeats of a worker that has nothing new to send
 * @param lease after so long without an answered heartbeat a worker kills its tasks
 * @param failureProbability the share of tasks that fail for no reason of the job's or the
 *     machine's
 */
public record WorkerSettings(
    Duration heartbeatInterval, Duration lease, double failureProbability) {}
