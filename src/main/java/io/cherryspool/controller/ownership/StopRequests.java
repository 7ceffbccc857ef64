package io.cherryspool.controller.ownership;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which attempts are to stop: for other work, for a cancel, or since their machine will be taken
 * away. Kept in memory: a new leader decides anew.
 */
public final class StopRequests {
  private final Map<TaskId, StopRequest> requests = new HashMap<>();

  private record StopRequest(int attempt, Duration grace) {}

  /** The first stop of an attempt counts; one of an earlier attempt means nothing for this one. */
  public void add(TaskId task, int attempt, Duration grace) {
    requests.compute(
        task,
        (key, known) ->
            known == null || known.attempt < attempt ? new StopRequest(attempt, grace) : known);
  }

  /** The grace of the stop that the attempt is under, or null if it is to go on. */
  public Duration graceFor(Ownership.OwnedTask owned) {
    if (owned.entry().outcome() == Outcome.CANCELLED) {
      return Duration.ZERO;
    }
    StopRequest request = requests.get(owned.id());
    return request != null && request.attempt == owned.attempt().number() ? request.grace : null;
  }

  /** The records have released the attempt, so nothing is left to stop. */
  public void remove(Ownership.OwnedTask owned) {
    StopRequest request = requests.get(owned.id());
    if (request != null && request.attempt <= owned.attempt().number()) {
      requests.remove(owned.id());
    }
  }
}
