package io.cherryspool.controller.rounds;

import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;

/**
 * What a leader keeps track of about owned tasks during one term, in memory only.
 *
 * @param ownership who owns what by the committed records
 * @param pendingReleases the releases that are proved and not yet committed
 * @param stopRequests the attempts that are to stop
 * @param backoff the jobs that are held back since they only fail
 * @param adoption the tasks that run without a record after a loss of state
 */
public record TaskTracking(
    Ownership ownership,
    PendingReleases pendingReleases,
    StopRequests stopRequests,
    CrashLoopBackoff backoff,
    TaskAdoption adoption) {}
