package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.release.TerminationEvidence;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.store.ClusterRecords;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;

/**
 * What one term of a leader knows, shared by its parts. It lives in memory and ends with the term;
 * the next leader learns it again from the records and the workers' heartbeats.
 *
 * @param tokens makes the fencing tokens of the term
 * @param fleet the machines
 * @param tasks the owned tasks
 * @param evidence decides which attempts are proved to have ended
 * @param demand estimates how much work there is
 */
public record TermState(
    FencingTokenSource tokens,
    Fleet fleet,
    TaskTracking tasks,
    TerminationEvidence evidence,
    DemandEstimator demand) {

  /**
   * Creates the state of a term that begins, which knows nothing yet.
   *
   * @param heldClasses see {@link TaskAdoption}
   */
  public static TermState create(
      long term,
      Duration termStart,
      ClusterRecords records,
      InstantSource clock,
      Timings timings,
      Set<String> heldClasses) {
    FencingTokenSource tokens = new FencingTokenSource(term);
    Fleet fleet = new Fleet();
    PendingReleases pendingReleases = new PendingReleases();
    StopRequests stopRequests = new StopRequests();
    CrashLoopBackoff backoff = new CrashLoopBackoff();
    TaskAdoption adoption =
        records.isPartialRebuild()
            ? new TaskAdoption(records, fleet, tokens, heldClasses)
            : TaskAdoption.NONE;
    return new TermState(
        tokens,
        fleet,
        new TaskTracking(new Ownership(records), pendingReleases, stopRequests, backoff, adoption),
        new TerminationEvidence(timings, tokens, stopRequests, termStart),
        new DemandEstimator(records, pendingReleases, backoff, clock));
  }
}
