package io.cherryspool.controller;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Which attempts are to stop: for other work, for a cancel, or since their machine will be taken
 * away. Kept in memory: a new leader decides anew.
 */
final class StopRequests {
  private final Map<TaskId, StopRequest> requests = new HashMap<>();

  private record StopRequest(int attempt, Duration grace) {}

  /** The first stop of an attempt counts; one of an earlier attempt means nothing for this one. */
  void add(TaskId task, int attempt, Duration grace) {
    requests.compute(
        task,
        (key, known) ->
            known == null || known.attempt < attempt ? new StopRequest(attempt, grace) : known);
  }

  /** The grace of the stop that the attempt is under, or null if it is to go on. */
  Duration graceFor(Ownership.Owned owned) {
    if (owned.entry().outcome() == Outcome.CANCELLED) {
      return Duration.ZERO;
    }
    StopRequest request = requests.get(owned.id());
    return request != null && request.attempt == owned.attempt().number() ? request.grace : null;
  }

  /** The records have released the attempt, so nothing is left to stop. */
  void drop(Ownership.Owned owned) {
    StopRequest request = requests.get(owned.id());
    if (request != null && request.attempt <= owned.attempt().number()) {
      requests.remove(owned.id());
    }
  }
}
