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

  void add(TaskId task, int attempt, Duration grace) {
    stops.putIfAbsent(task, new Stop(attempt, grace));
  }

  /** The grace of the stop that the attempt is under, or null if it is to go on. */
  Duration of(Ownership.Owned owned) {
    if (owned.entry().outcome() == Outcome.CANCELLED) {
      return Duration.ZERO;
    }
    Stop stop = stops.get(owned.id());
    return stop != null && stop.attempt == owned.attempt().number() ? stop.grace : null;
  }

  void clear(TaskId task) {
    stops.remove(task);
  }
}
