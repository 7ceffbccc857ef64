package io.cherryspool.controller.fleet;

import io.cherryspool.model.WorkerCommand;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The commands that a leader has sent to one machine, in replies to heartbeats and by direct calls,
 * and whether any of them may still be executed there. A fencing token of 0 means that there is
 * none. Used on the event loop only.
 */
public final class CommandDelivery {
  /** The commands of the last reply to a heartbeat, with the time of the reply. */
  private final Map<WorkerCommand, Duration> deliveryTimes = new HashMap<>();

  /** The token under which each start was last sent. */
  private final Map<WorkerCommand, Long> startTokens = new HashMap<>();

  /** The highest token of a direct call that was not answered, so that it may still be executed. */
  private long unansweredToken;

  private long inFlightToken;
  private Duration retryAt = Duration.ZERO;

  /** Records the commands of a reply, which replace those of the previous reply. */
  public void recordDelivered(List<WorkerCommand> commands, long token, Duration now) {
    recordStarts(commands, token);
    deliveryTimes.clear();
    for (WorkerCommand command : commands) {
      deliveryTimes.put(command, now);
    }
  }

  /**
   * Whether the command was part of the last reply and that reply is more recent than the limit.
   */
  public boolean wasDeliveredWithin(WorkerCommand command, Duration limit, Duration now) {
    Duration deliveredAt = deliveryTimes.get(command);
    return deliveredAt != null && now.minus(deliveredAt).compareTo(limit) < 0;
  }

  /** Whether a direct call has neither been answered nor failed yet. */
  public boolean isCallInFlight() {
    return inFlightToken != 0;
  }

  /**
   * Whether a direct call may be made now. Only one is in flight at a time, and a pause follows a
   * failed call.
   */
  public boolean mayCall(Duration now) {
    return inFlightToken == 0 && now.compareTo(retryAt) >= 0;
  }

  /** Records that a direct call with these commands is being made under the token. */
  public void recordCallStarted(List<WorkerCommand> commands, long token) {
    inFlightToken = token;
    recordStarts(commands, token);
  }

  /** Records that the direct call in flight has been answered. */
  public void recordCallAnswered() {
    inFlightToken = 0;
  }

  /** Records that the direct call in flight was not answered, and when the next one may be made. */
  public void recordCallFailed(Duration nextCallAt) {
    unansweredToken = Math.max(unansweredToken, inFlightToken);
    inFlightToken = 0;
    retryAt = nextCallAt;
  }

  /** Returns the highest token of a direct call that may still be executed, 0 if there is none. */
  public long highestPendingToken() {
    return Math.max(unansweredToken, inFlightToken);
  }

  /** Returns the token under which the start was last sent, or the default if it was never sent. */
  public long startTokenOr(WorkerCommand start, long defaultToken) {
    return startTokens.getOrDefault(start, defaultToken);
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
