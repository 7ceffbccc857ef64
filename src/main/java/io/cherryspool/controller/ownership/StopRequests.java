package io.cherryspool.controller.ownership;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The attempts that must stop: because they are preempted, because their job was cancelled, or
 * because the cloud will take their machine away. Requests are kept in memory only; a new leader
 * decides again. Used on the event loop only.
 */
public final class StopRequests {
  private final Map<TaskId, StopRequest> requests = new HashMap<>();

  private record StopRequest(int attempt, Duration gracePeriod) {}

  /**
   * Requests a stop of the attempt. The request is ignored if a stop of this attempt or of a later
   * one is already requested. It replaces a request for an earlier attempt.
   */
  public void add(TaskId task, int attempt, Duration gracePeriod) {
    StopRequest existing = requests.get(task);
    if (existing == null || existing.attempt < attempt) {
      requests.put(task, new StopRequest(attempt, gracePeriod));
    }
  }

  /** Whether the attempt must stop. */
  public boolean isRequested(Ownership.OwnedTask owned) {
    return gracePeriodFor(owned).isPresent();
  }

  /**
   * Returns the grace period of the stop requested for the attempt, which is zero if its job was
   * cancelled; empty if no stop is requested.
   */
  public Optional<Duration> gracePeriodFor(Ownership.OwnedTask owned) {
    if (owned.jobRecord().outcome() == Outcome.CANCELLED) {
      return Optional.of(Duration.ZERO);
    }
    StopRequest request = requests.get(owned.taskId());
    return request != null && request.attempt == owned.attempt().number()
        ? Optional.of(request.gracePeriod)
        : Optional.empty();
  }

  /**
   * Removes the request for this attempt or an earlier one, since the attempt no longer owns its
   * task.
   */
  public void remove(Ownership.OwnedTask owned) {
    StopRequest request = requests.get(owned.taskId());
    if (request != null && request.attempt <= owned.attempt().number()) {
      requests.remove(owned.taskId());
    }
  }
}
