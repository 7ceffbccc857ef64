package io.cherryspool.controller.leader;

import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.model.FencingToken;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.recovery.Reconciliation;
import io.cherryspool.store.ClusterRecords;

/**
 * Checks whether a heartbeat contradicts this leader's term or records: it shows a token of a later
 * leader, or an attempt whose start the records lack. Either ends the term.
 *
 * <p>Used on the event loop only.
 */
final class HistoryCheck {
  private final ClusterRecords records;
  private final FencingTokenSource tokens;
  private final long term;
  private final LeaderTerm.ContradictionListeners findings;

  HistoryCheck(
      ClusterRecords records,
      FencingTokenSource tokens,
      long term,
      LeaderTerm.ContradictionListeners findings) {
    this.records = records;
    this.tokens = tokens;
    this.term = term;
    this.findings = findings;
  }

  /**
   * Whether the heartbeat is evidence against this term, which is then reported; nothing else may
   * be concluded from it.
   *
   * @param before the newest heartbeat of the machine before, null if there is none
   */
  boolean isContradictedBy(WorkerHeartbeat heartbeat, WorkerHeartbeat before) {
    if (heartbeat.highestFencingToken() > tokens.current()) {
      // Of a later leader; or, in a lost history, of another leader in a term of this number.
      findings
          .onHigherTerm()
          .accept(Math.max(FencingToken.term(heartbeat.highestFencingToken()), term + 1));
      return true;
    }
    // What a heartbeat repeats was checked before; of a start the records never come to know less.
    return findings.onUnrecordedStart().isPresent()
        && records.isReconciled()
        && heartbeat.hasChangedSince(before)
        && reportUnrecordedStart(heartbeat);
  }

  /** This leader has read all that was recorded before its term, and has started nothing else. */
  private boolean reportUnrecordedStart(WorkerHeartbeat heartbeat) {
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      String job = status.task().jobId();
      boolean isNoted = records.isAbandonedJob(job) || records.isUnknownJob(job);
      if (!isNoted && !Reconciliation.isStartRecorded(records.job(job), status)) {
        findings.onUnrecordedStart().get().accept(status.task() + " try " + status.attempt());
        return true;
      }
    }
    return false;
  }
}
