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
 * The in-memory state of one term of a leader, shared by its parts. The next leader rebuilds it
 * from the records and the workers' heartbeats.
 *
 * @param tokens the source of the term's fencing tokens
 * @param fleet the machines
 * @param tasks the state of the owned tasks
 * @param evidence decides which attempts are proved to have ended
 * @param demand estimates the demand for machines
 */
public record TermState(
    FencingTokenSource tokens,
    Fleet fleet,
    TaskTracking tasks,
    TerminationEvidence evidence,
    DemandEstimator demand) {

  /**
   * Creates the initial state of a term.
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
