package io.cherryspool.recovery;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Shard;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.JobRecord;

/**
 * What a worker's report of a task means for records that may lack the newest starts and ends.
 * Decided from the record and the report alone.
 */
public final class Reconciliation {
  private Reconciliation() {}

  /** What to do about a reported task. */
  public enum Decision {
    /** The records give the task to this very attempt. */
    KEEP,
    /** It runs, and is to be recorded as owned where it runs. */
    ADOPT,
    /** It has completed, and is to be recorded as done. */
    RECORD_DONE,
    /** Nobody has described its job; it is neither stopped nor forgotten. */
    LEAVE,
    /** The records are newer: it is stopped or forgotten as ever. */
    DISCARD
  }

  /**
   * Whether the records know of the reported attempt or of something later. Starts are recorded
   * before they are ordered, so that one which they don't know of proves that records were lost.
   *
   * @param entry the task's job, null if it is not known
   */
  public static boolean isStartRecorded(JobRecord entry, WorkerHeartbeat.TaskStatus item) {
    if (entry == null) {
      return false;
    }
    int task = item.task().index();
    if (entry.outcome() != null || task >= entry.job().taskCount()) {
      return true;
    }
    Shard shard = entry.shard(entry.shardIndexOf(task)).shard();
    return shard.isDone(task) || shard.history(task).attempts() >= item.attempt();
  }

  /**
   * @param entry the task's job, null if it is not known
   * @param ownerReports whether the machine that the records give the task to reports it as well
   */
  public static Decision decide(
      JobRecord entry,
      WorkerHeartbeat.TaskStatus item,
      String machine,
      long session,
      boolean ownerReports) {
    if (entry == null) {
      return Decision.LEAVE;
    }
    int task = item.task().index();
    if (entry.outcome() != null || task >= entry.job().taskCount()) {
      return Decision.DISCARD;
    }
    Shard shard = entry.shard(entry.shardIndexOf(task)).shard();
    if (shard.isDone(task)) {
      return Decision.DISCARD;
    }
    Attempt owner = shard.ownedAttempt(task);
    if (owner != null
        && owner.number() == item.attempt()
        && owner.agentEpoch() == session
        && owner.machine().equals(machine)) {
      return Decision.KEEP;
    }
    if (item.state() == WorkerHeartbeat.TaskState.EXITED) {
      return item.cause() == WorkerHeartbeat.ExitCause.DONE
          ? Decision.RECORD_DONE
          : Decision.DISCARD;
    }
    int attempts = shard.history(task).attempts();
    boolean same = item.attempt() == attempts && (owner == null || !ownerReports);
    return item.attempt() > attempts || same ? Decision.ADOPT : Decision.DISCARD;
  }
}
