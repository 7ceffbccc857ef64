package io.cherryspool.controller;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Which attempts are to stop. Kept in memory: a new leader decides anew. */
final class Stops {
  private final Map<TaskId, Stop> stops = new HashMap<>();

  private record Stop(int attempt, Duration grace) {}

  /** The first stop of an attempt counts; one of an earlier attempt means nothing for this one. */
  void add(TaskId task, int attempt, Duration grace) {
    stops.compute(
        task,
        (key, known) ->
            known == null || known.attempt < attempt ? new Stop(attempt, grace) : known);
  }

  /** The grace of the stop that the attempt is under, or null if it is to go on. */
  Duration of(Ownership.Owned owned) {
    if (owned.entry().outcome() == Outcome.CANCELLED) {
      return Duration.ZERO;
    }
    Stop stop = stops.get(owned.id());
    return stop != null && stop.attempt == owned.attempt().number() ? stop.grace : null;
  }

  /** The records have released the attempt, so nothing is left to stop. */
  void drop(Ownership.Owned owned) {
    Stop stop = stops.get(owned.id());
    if (stop != null && stop.attempt <= owned.attempt().number()) {
      stops.remove(owned.id());
    }
  }
}
