package io.cherryspool.controller.fleet;

import io.cherryspool.model.WorkerCommand;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which commands a leader has delivered to one machine, in replies to heartbeats and by direct
 * calls, and which of them may still run there. A token is 0 where there is none. Used on the event
 * loop only.
 */
public final class CommandDelivery {
  /** Commands of the last reply to a heartbeat; the worker is given time to carry them out. */
  private final Map<WorkerCommand, Duration> delivered = new HashMap<>();

  /** The highest token under which each start was sent. */
  private final Map<WorkerCommand, Long> startTokens = new HashMap<>();

  /** The highest token of a direct call that got no answer, so that it may still run. */
  private long unansweredToken;

  private long inFlightToken;
  private Duration retryAt = Duration.ZERO;

  /** Records the commands of a reply in place of those of the reply before. */
  public void recordDelivered(List<WorkerCommand> commands, long token, Duration now) {
    recordStarts(commands, token);
    delivered.clear();
    for (WorkerCommand command : commands) {
      delivered.put(command, now);
    }
  }

  /** Whether the command was part of the last reply and that came within the time before now. */
  public boolean wasDeliveredWithin(WorkerCommand command, Duration limit, Duration now) {
    Duration at = delivered.get(command);
    return at != null && now.minus(at).compareTo(limit) < 0;
  }

  /** Whether a direct call has neither been answered nor failed yet. */
  public boolean isCallInFlight() {
    return inFlightToken != 0;
  }

  /** Whether a direct call may be made now: one at a time, and a pause after one that failed. */
  public boolean mayCall(Duration now) {
    return inFlightToken == 0 && now.compareTo(retryAt) >= 0;
  }

  /** Records that a direct call with these commands is made under the token. */
  public void recordCallStarted(List<WorkerCommand> commands, long token) {
    inFlightToken = token;
    recordStarts(commands, token);
  }

  /** Records that the direct call in flight was answered. */
  public void recordCallAnswered() {
    inFlightToken = 0;
  }

  /** Records that the direct call in flight got no answer; the next may follow at that time. */
  public void recordCallFailed(Duration nextCallAt) {
    unansweredToken = Math.max(unansweredToken, inFlightToken);
    inFlightToken = 0;
    retryAt = nextCallAt;
  }

  /** The highest token of a direct call that may still run, 0 if none may. */
  public long highestPendingToken() {
    return Math.max(unansweredToken, inFlightToken);
  }

  /** The highest token under which the start was sent, or the given one if it was not. */
  public long startTokenOr(WorkerCommand start, long otherwise) {
    return startTokens.getOrDefault(start, otherwise);
  }

  /** Drops the token of a start whose attempt has ended. */
  public void removeStart(WorkerCommand start) {
    startTokens.remove(start);
  }

  private void recordStarts(List<WorkerCommand> commands, long token) {
    for (WorkerCommand command : commands) {
      if (command.action() == WorkerCommand.Action.START) {
        startTokens.put(command, token);
      }
    }
  }
}
