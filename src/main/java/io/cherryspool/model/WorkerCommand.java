package io.cherryspool.model;

import java.time.Duration;

/** A command to a worker; {@code grace} counts for a stop only. */
public record WorkerCommand(Action action, TaskId task, int attempt, Duration gracePeriod) {

  /** What the worker is to do with the attempt. */
  public enum Action {
    START,
    STOP,
    ACKNOWLEDGE
  }

  public static WorkerCommand start(TaskId task, int attempt) {
    return new WorkerCommand(Action.START, task, attempt, Duration.ZERO);
  }

  public static WorkerCommand stop(TaskId task, int attempt, Duration grace) {
    return new WorkerCommand(Action.STOP, task, attempt, grace);
  }

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
