package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/** What a worker says of itself. The one with the larger (session, sequence) is the newer. */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long sequence,
    long token,
    Duration notice,
    List<TaskReport> tasks) {

  /** Where a task stands on its machine. */
  public enum State {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited. */
  public enum Cause {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_JOB
  }

  /** One task on the machine; {@code cause} is null until it has exited. */
  public record TaskReport(TaskId task, int attempt, State state, Cause cause) {

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
    @Override
    public boolean equals(Object object) {
      return object instanceof TaskReport other
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

  public boolean newerThan(Report other) {
    return session > other.session || session == other.session && sequence > other.sequence;
  }

  /**
   * Whether this says anything else than the one before, beside its sequence and token. Most
   * reports of a thousand machines do not.
   *
   * @param before the report before this one, null if there was none
   */
  public boolean differsFrom(Report before) {
    return before == null
        || session != before.session
        || (notice == null) != (before.notice == null)
        || !tasks.equals(before.tasks);
  }
}
