package io.cherryspool.model;

import java.time.Duration;

/**
 * A command to a worker that concerns one attempt. Commands are idempotent, with one exception: a
 * START that is repeated after an ACKNOWLEDGE starts the attempt again.
 *
 * @param gracePeriod the time that a stopped task has to save a checkpoint; zero for the other
 *     actions
 */
public record WorkerCommand(Action action, TaskId task, int attempt, Duration gracePeriod) {

  /** The action that the worker has to take. */
  public enum Action {
    /** Fetch the task's image and run the task. */
    START,
    /**
     * Stop the task. A task with checkpoints first saves one if the grace period is long enough.
     */
    STOP,
    /** Remove the exited task from the heartbeats, because its end is recorded. */
    ACKNOWLEDGE
  }

  /** Returns a command that starts an attempt. */
  public static WorkerCommand start(TaskId task, int attempt) {
    return new WorkerCommand(Action.START, task, attempt, Duration.ZERO);
  }

  /**
   * Returns a command that stops an attempt.
   *
   * @param grace the time that the task has to save a checkpoint
   */
  public static WorkerCommand stop(TaskId task, int attempt, Duration grace) {
    return new WorkerCommand(Action.STOP, task, attempt, grace);
  }

  /** Returns a command that removes an exited attempt from the worker's heartbeats. */
  public static WorkerCommand acknowledge(TaskId task, int attempt) {
    return new WorkerCommand(Action.ACKNOWLEDGE, task, attempt, Duration.ZERO);
  }

  // Written by hand, since generated record methods are linked at run time; see "Start-up" in
  // docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof WorkerCommand other
        && action == other.action
        && attempt == other.attempt
        && task.equals(other.task)
        && gracePeriod.equals(other.gracePeriod);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * action.ordinal() + attempt) + task.hashCode();
  }
}
