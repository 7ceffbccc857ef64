package io.cherryspool.model;

import java.time.Duration;

/** A command to a worker; {@code grace} counts for a stop only. */
public record Order(Verb verb, TaskId task, int attempt, Duration grace) {

  /** What the worker is to do with the attempt. */
  public enum Verb {
    START,
    STOP,
    FORGET
  }

  public static Order start(TaskId task, int attempt) {
    return new Order(Verb.START, task, attempt, Duration.ZERO);
  }

  public static Order stop(TaskId task, int attempt, Duration grace) {
    return new Order(Verb.STOP, task, attempt, grace);
  }

  public static Order forget(TaskId task, int attempt) {
    return new Order(Verb.FORGET, task, attempt, Duration.ZERO);
  }

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof Order other
        && verb == other.verb
        && attempt == other.attempt
        && task.equals(other.task)
        && grace.equals(other.grace);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * verb.ordinal() + attempt) + task.hashCode();
  }
}
