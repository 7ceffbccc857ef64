package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.wire.Json;

/** An attempt at a task on a {@link FakeWorker}, from the command that starts it. */
final class TaskAttempt {
  private final String task;
  private final int number;
  private Status status = Status.FETCHING_IMAGE;
  private ExitCause exitCause;
  private boolean isCheckpointed;

  /** The status of an attempt. */
  private enum Status {
    FETCHING_IMAGE("pulling"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended");

    private final String protocolName;

    Status(String protocolName) {
      this.protocolName = protocolName;
    }
  }

  /** The reason why an attempt has exited. */
  enum ExitCause {
    DONE("done"),
    ERROR("error"),
    STOPPED("stopped"),
    DUPLICATE("busy"),
    UNKNOWN_JOB("no_such");

    private final String protocolName;

    ExitCause(String protocolName) {
      this.protocolName = protocolName;
    }
  }

  TaskAttempt(String task, int number) {
    this.task = task;
    this.number = number;
  }

  /** Returns the key under which a worker stores the attempt. */
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
    isCheckpointed = true;
    exit(ExitCause.STOPPED);
  }

  /**
   * Sets the status to saving a checkpoint or to running, although the attempt may do the other of
   * the two. Has no effect if the attempt is fetching its image or has exited.
   */
  void pretendCheckpointing(boolean value) {
    if (!hasExited() && status != Status.FETCHING_IMAGE) {
      status = value ? Status.CHECKPOINTING : Status.RUNNING;
    }
  }

  /** Returns the attempt as encoded in a heartbeat. */
  ObjectNode encode() {
    ObjectNode node = Json.object().put("piece", task).put("try", number);
    node.put("status", status.protocolName);
    if (hasExited()) {
      node.put("cause", exitCause.protocolName).put("kept", isCheckpointed);
    }
    return node;
  }
}
