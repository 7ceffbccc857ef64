package io.cherryspool.controller.leader;

import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.model.FencingToken;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.recovery.Reconciliation;
import io.cherryspool.store.ClusterRecords;

/**
 * Checks whether a heartbeat contradicts this leader's term or records. It does if it shows the
 * fencing token of a later leader, or an attempt whose start is missing from the records. Either
 * ends the term.
 *
 * <p>Used on the event loop only.
 */
final class ConsistencyCheck {
  private final ClusterRecords records;
  private final FencingTokenSource tokens;
  private final long term;
  private final LeaderTerm.ContradictionListeners listeners;

  ConsistencyCheck(
      ClusterRecords records,
      FencingTokenSource tokens,
      long term,
      LeaderTerm.ContradictionListeners listeners) {
    this.records = records;
    this.tokens = tokens;
    this.term = term;
    this.listeners = listeners;
  }

  /**
   * Returns whether the heartbeat contradicts this term or its records, and reports the
   * contradiction to the listeners. The caller must not use such a heartbeat for anything else.
   *
   * @param previous the machine's newest heartbeat before this one, null if there is none
   */
  boolean reportIfContradicted(WorkerHeartbeat heartbeat, WorkerHeartbeat previous) {
    if (heartbeat.highestFencingToken() > tokens.current()) {
      // The token comes from a later leader, or from another leader that had the same term number
      // before the state store lost data.
      listeners
          .onHigherTerm()
          .accept(Math.max(FencingToken.term(heartbeat.highestFencingToken()), term + 1));
      return true;
    }
    // Unchanged tasks were checked with an earlier heartbeat, and a recorded start stays recorded.
    return listeners.onUnrecordedStart().isPresent()
        && records.isReconciled()
        && heartbeat.hasChangedSince(previous)
        && reportUnrecordedStart(heartbeat);
  }

  /**
   * Reports the first attempt whose start is not recorded, and returns whether there is one. Such
   * an attempt is a contradiction, since this leader has read all records from before its term and
   * has started no other attempts.
   */
  private boolean reportUnrecordedStart(WorkerHeartbeat heartbeat) {
    for (WorkerHeartbeat.TaskStatus status : heartbeat.tasks()) {
      String job = status.task().jobId();
      boolean isExempt = records.isAbandonedJob(job) || records.isUnknownJob(job);
      if (!isExempt && !Reconciliation.isStartRecorded(records.job(job), status)) {
        listeners.onUnrecordedStart().get().accept(status.task() + " try " + status.attempt());
        return true;
      }
    }
    return false;
  }
}
