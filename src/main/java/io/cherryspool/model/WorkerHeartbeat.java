package io.cherryspool.model;

import java.time.Duration;
import java.util.List;

/** What a worker says of itself. The one with the larger (session, sequence) is the newer. */
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

  /** Where a task stands on its machine. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why a task exited. */
  public enum ExitCause {
    DONE,
    STOPPED,
    ERROR,
    INSUFFICIENT_RESOURCES,
    OTHER_ATTEMPT_PRESENT,
    UNKNOWN_JOB
  }

  /** One task on the machine; {@code cause} is null until it has exited. */
  public record TaskStatus(TaskId task, int attempt, TaskState state, ExitCause cause) {

    // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
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

  public boolean isNewerThan(WorkerHeartbeat other) {
    return agentEpoch > other.agentEpoch
        || agentEpoch == other.agentEpoch && sequence > other.sequence;
  }

  /**
   * Whether this says anything else than the one before, beside its sequence and token. Most
   * reports of a thousand machines do not.
   *
   * @param before the report before this one, null if there was none
   */
  public boolean hasChangedSince(WorkerHeartbeat before) {
    return before == null
        || agentEpoch != before.agentEpoch
        || (preemptionNotice == null) != (before.preemptionNotice == null)
        || !tasks.equals(before.tasks);
  }
}
