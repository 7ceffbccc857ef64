package io.cherryspool.recovery;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Shard;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.JobRecord;

/**
 * Decides how a task that a worker reports is reconciled with records that may lack the newest
 * starts and ends of tasks. All methods are pure functions of the record and the heartbeat. The
 * job's record may be null, because an {@code Optional} for each task of each heartbeat would cost
 * too much.
 */
public final class Reconciliation {
  private Reconciliation() {}

  /** What to do about a reported task. */
  public enum Decision {
    /** According to the records, the reported attempt owns the task. */
    KEEP,
    /** The task runs and must be recorded as owned by the machine that runs it. */
    ADOPT,
    /** The task has completed and must be recorded as done. */
    RECORD_DONE,
    /** The records lack the job. The task is neither stopped nor acknowledged for now. */
    DEFER,
    /** The records are newer than the report. The task is stopped or acknowledged as usual. */
    DISCARD
  }

  /**
   * Whether the records contain the start of the reported attempt or something later. A start is
   * recorded before the worker is told to start the task, so a missing start proves that records
   * were lost.
   *
   * @param job the task's job, null if the records lack it
   */
  public static boolean isStartRecorded(JobRecord job, WorkerHeartbeat.TaskStatus status) {
    if (job == null) {
      return false;
    }
    int task = status.task().index();
    if (isOver(job, task)) {
      return true;
    }
    Shard shard = job.shard(job.shardIndexOf(task)).shard();
    return shard.isDone(task) || shard.history(task).attempts() >= status.attempt();
  }

  /**
   * Decides what to do about a reported task.
   *
   * @param job the task's job, null if the records lack it
   * @param machine the name of the machine that reports the task
   * @param agentEpoch the epoch of the machine's agent
   * @param isReportedByOwner whether the machine that owns the task according to the records
   *     reports it too
   */
  public static Decision decide(
      JobRecord job,
      WorkerHeartbeat.TaskStatus status,
      String machine,
      long agentEpoch,
      boolean isReportedByOwner) {
    if (job == null) {
      return Decision.DEFER;
    }
    int task = status.task().index();
    if (isOver(job, task)) {
      return Decision.DISCARD;
    }
    Shard shard = job.shard(job.shardIndexOf(task)).shard();
    if (shard.isDone(task)) {
      return Decision.DISCARD;
    }
    Attempt owner = shard.ownedAttempt(task);
    if (owner != null
        && owner.number() == status.attempt()
        && owner.agentEpoch() == agentEpoch
        && owner.machine().equals(machine)) {
      return Decision.KEEP;
    }
    if (status.state() == WorkerHeartbeat.TaskState.EXITED) {
      boolean isDone = status.cause() == WorkerHeartbeat.ExitCause.DONE;
      return isDone ? Decision.RECORD_DONE : Decision.DISCARD;
    }
    int attempts = shard.history(task).attempts();
    boolean isUnownedLatest = status.attempt() == attempts && (owner == null || !isReportedByOwner);
    return status.attempt() > attempts || isUnownedLatest ? Decision.ADOPT : Decision.DISCARD;
  }

  /** Whether the job has ended or has no task with this index. */
  private static boolean isOver(JobRecord job, int task) {
    return job.outcome() != null || task >= job.job().taskCount();
  }
}
