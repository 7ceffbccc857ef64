package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.release.TerminationEvidence;

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
    DemandEstimator demand) {}
