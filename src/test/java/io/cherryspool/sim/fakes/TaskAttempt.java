package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.wire.Json;

/** One attempt at a task on a {@link FakeWorker}, from the command that starts it on. */
final class TaskAttempt {
  private final String task;
  private final int number;
  private Status status = Status.FETCHING_IMAGE;
  private ExitCause exitCause;
  private boolean checkpointed;

  /** What the attempt is doing. */
  private enum Status {
    FETCHING_IMAGE("pulling"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended");

    private final String word;

    Status(String word) {
      this.word = word;
    }
  }

  /** Why an attempt has exited. */
  enum ExitCause {
    DONE("done"),
    ERROR("error"),
    STOPPED("stopped"),
    DUPLICATE("busy"),
    UNKNOWN_JOB("no_such");

    private final String word;

    ExitCause(String word) {
      this.word = word;
    }
  }

  TaskAttempt(String task, int number) {
    this.task = task;
    this.number = number;
  }

  /** The key that a worker has the attempt under. */
  static String key(String task, int number) {
    return task + "#" + number;
  }

  String key() {
    return key(task, number);
  }

  String task() {
    return task;
  }

  boolean isRunning() {
    return status == Status.RUNNING;
  }

  boolean isCheckpointing() {
    return status == Status.CHECKPOINTING;
  }

  boolean hasExited() {
    return exitCause != null;
  }

  void run() {
    status = Status.RUNNING;
  }

  void checkpoint() {
    status = Status.CHECKPOINTING;
  }

  void exit(ExitCause cause) {
    status = Status.EXITED;
    exitCause = cause;
  }

  void exitWithCheckpoint() {
    checkpointed = true;
    exit(ExitCause.STOPPED);
  }

  /** Reports another status than the true one, for an attempt that has its image. */
  void pretendCheckpointing(boolean value) {
    if (!hasExited() && status != Status.FETCHING_IMAGE) {
      status = value ? Status.CHECKPOINTING : Status.RUNNING;
    }
  }

  /** The attempt as a heartbeat has it. */
  ObjectNode describe() {
    ObjectNode node = Json.object().put("piece", task).put("try", number);
    node.put("status", status.word);
    if (hasExited()) {
      node.put("cause", exitCause.word).put("kept", checkpointed);
    }
    return node;
  }
}
