package io.cherryspool.recovery;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Shard;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.JobRecord;

/**
 * Decides what a task in a worker's heartbeat means for records that may lack the newest starts and
 * ends. Pure functions of the record and the heartbeat; the job's record may be null, because an
 * {@code Optional} for each task of each heartbeat would cost too much.
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
    /** The records lack its job; it is neither stopped nor acknowledged. */
    DEFER,
    /** The records are newer: it is stopped or acknowledged as usual. */
    DISCARD
  }

  /**
   * Whether the records hold the reported attempt or something later. Starts are recorded before
   * they are commanded, so that one which the records lack proves that records were lost.
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
   * What to do about a reported task.
   *
   * @param job the task's job, null if the records lack it
   * @param machine the name of the machine that reports the task
   * @param agentEpoch the epoch of the machine's agent
   * @param isReportedByOwner whether the machine that owns the task by the records reports it too
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

  /** Whether the job has ended, or never had such a task. */
  private static boolean isOver(JobRecord job, int task) {
    return job.outcome() != null || task >= job.job().taskCount();
  }
}
