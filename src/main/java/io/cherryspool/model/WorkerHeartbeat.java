package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/**
 * The state of a worker that it sends in each heartbeat and in each response to a direct call. The
 * components are the fields of the message.
 *
 * @param machine the machine's name
 * @param address the host and port of the machine's agent
 * @param agentEpoch the epoch of the agent, counted from 1; an agent whose lease has expired kills
 *     all its tasks and begins the next epoch
 * @param sequence a number that increases with each message of an epoch
 * @param highestFencingToken the highest fencing token that the agent has received
 * @param preemptionNotice the time until the cloud takes the machine away, null if there is no
 *     notice
 * @param tasks all tasks on the machine, including exited tasks that are not acknowledged
 */
public record WorkerHeartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean isSpot,
    long agentEpoch,
    long sequence,
    long highestFencingToken,
    Duration preemptionNotice,
    List<TaskStatus> tasks) {

  /** The state of a task on its machine. */
  public enum TaskState {
    /** The task waits for its image. */
    FETCHING,
    /** The task runs. */
    RUNNING,
    /** The task was stopped and is saving a checkpoint. */
    CHECKPOINTING,
    /** The task has ended or its start was refused; {@link ExitCause} is the reason. */
    EXITED
  }

  /** The reason why a task exited. */
  public enum ExitCause {
    /** The task ran to completion. */
    DONE,
    /** The task was stopped by a command. */
    STOPPED,
    /** The task failed, usually because of a fault of the machine. */
    ERROR,
    /** The start was refused because the machine's free resources are insufficient. */
    INSUFFICIENT_RESOURCES,
    /** The start was refused because another attempt of the task is on the machine. */
    OTHER_ATTEMPT_PRESENT,
    /** The start was refused because no such job or task was submitted. */
    UNKNOWN_JOB
  }

  /**
   * The status of a task on the machine.
   *
   * @param attempt the number of the task's attempt
   * @param cause why the task exited, null if it has not exited
   */
  public record TaskStatus(TaskId task, int attempt, TaskState state, ExitCause cause) {

    // Written by hand, since generated record methods are linked at run time; see "Start-up" in
    // docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof TaskStatus other
          && attempt == other.attempt
          && state == other.state
          && cause == other.cause
          && task.equals(other.task);
    }

    @Override
    public int hashCode() {
      return 31 * task.hashCode() + attempt;
    }
  }

  /** Whether this message was sent after the other one of the same machine. */
  public boolean isNewerThan(WorkerHeartbeat other) {
    return agentEpoch > other.agentEpoch
        || (agentEpoch == other.agentEpoch && sequence > other.sequence);
  }

  /**
   * Whether this message differs from the previous one in the epoch, in the tasks, or in the
   * presence of a preemption notice. Most heartbeats do not, so that most of their processing can
   * be skipped.
   *
   * @param before the previous message, null if there is none
   */
  public boolean hasChangedSince(WorkerHeartbeat before) {
    return before == null
        || agentEpoch != before.agentEpoch
        || (preemptionNotice == null) != (before.preemptionNotice == null)
        || !tasks.equals(before.tasks);
  }
}
