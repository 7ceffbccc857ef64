package io.cherryspool.controller.ownership;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which attempts are to stop: as victims of a preemption, for a cancel, or since their machine will
 * be taken away. Kept in memory: a new leader decides anew. Used on the event loop only.
 */
public final class StopRequests {
  private final Map<TaskId, StopRequest> requests = new HashMap<>();

  private record StopRequest(int attempt, Duration gracePeriod) {}

  /** Requests a stop. The first one of an attempt counts; one of an earlier attempt is replaced. */
  public void add(TaskId task, int attempt, Duration gracePeriod) {
    StopRequest known = requests.get(task);
    if (known == null || known.attempt < attempt) {
      requests.put(task, new StopRequest(attempt, gracePeriod));
    }
  }

  /** Whether the attempt is to stop. */
  public boolean isRequested(Ownership.OwnedTask owned) {
    return gracePeriodFor(owned).isPresent();
  }

  /** The grace period of the stop requested for the attempt, empty if it is to go on. */
  public Optional<Duration> gracePeriodFor(Ownership.OwnedTask owned) {
    if (owned.jobRecord().outcome() == Outcome.CANCELLED) {
      return Optional.of(Duration.ZERO);
    }
    StopRequest request = requests.get(owned.taskId());
    return request != null && request.attempt == owned.attempt().number()
        ? Optional.of(request.gracePeriod)
        : Optional.empty();
  }

  /** Drops the request for an attempt that the records have released. */
  public void remove(Ownership.OwnedTask owned) {
    StopRequest request = requests.get(owned.taskId());
    if (request != null && request.attempt <= owned.attempt().number()) {
      requests.remove(owned.taskId());
    }
  }
}
