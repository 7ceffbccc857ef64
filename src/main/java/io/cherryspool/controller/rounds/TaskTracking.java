package io.cherryspool.controller.rounds;

import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;

/**
 * The state that a leader keeps about owned tasks during one term, in memory only.
 *
 * @param ownership the machines' owned tasks according to the committed records
 * @param pendingReleases the releases of tasks that are proved but not yet committed
 * @param stopRequests the attempts for which a stop was requested
 * @param backoff the crash-looping jobs, which are retried at growing intervals
 * @param adoption the adoption of tasks that run without a record after the state store has lost
 *     data
 */
public record TaskTracking(
    Ownership ownership,
    PendingReleases pendingReleases,
    StopRequests stopRequests,
    CrashLoopBackoff backoff,
    TaskAdoption adoption) {}
