package io.cherryspool.model;

import java.time.Duration;

/**
 * A command to a worker about one attempt. Commands are idempotent, with one exception: a START
 * repeated after an ACKNOWLEDGE starts the attempt again.
 *
 * @param gracePeriod the time that a stopped task may use to save a checkpoint; zero for the other
 *     actions
 */
public record WorkerCommand(Action action, TaskId task, int attempt, Duration gracePeriod) {

  /** What the worker has to do with the attempt. */
  public enum Action {
    /** Fetch the task's image and run the task. */
    START,
    /** Stop the task; one with checkpoints saves first if the grace period is long enough. */
    STOP,
    /** Remove the exited task from the heartbeats, since its end is recorded. */
    ACKNOWLEDGE
  }

  /** The command that starts an attempt. */
  public static WorkerCommand start(TaskId task, int attempt) {
    return new WorkerCommand(Action.START, task, attempt, Duration.ZERO);
  }

  /** The command that stops an attempt, which may save for so long. */
  public static WorkerCommand stop(TaskId task, int attempt, Duration grace) {
    return new WorkerCommand(Action.STOP, task, attempt, grace);
  }

  /** The command that removes an exited attempt from the worker's heartbeats. */
  public static WorkerCommand acknowledge(TaskId task, int attempt) {
    return new WorkerCommand(Action.ACKNOWLEDGE, task, attempt, Duration.ZERO);
  }

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
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
