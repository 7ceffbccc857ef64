package io.cherryspool.scheduler;

import java.util.Optional;

/**
 * The decision of a plan on one queue entry, that is, on tasks of one job with the same position in
 * the queue.
 *
 * @param jobId the job's id
 * @param isPromoted whether the entry comes before all entries that are not promoted, because its
 *     job has waited too long for its start
 * @param placedCount the number of tasks that are placed
 * @param overQuotaCount the number of tasks that the team's quota does not allow
 * @param unschedulableCount the number of tasks that the quota allows but for which no machine was
 *     found
 * @param unschedulableCause why no machine was found for the unschedulable tasks; empty if there
 *     are none
 */
public record EntryDecision(
    String jobId,
    boolean isPromoted,
    int placedCount,
    int overQuotaCount,
    int unschedulableCount,
    Optional<HoldCause> unschedulableCause) {

  /** Receives the decisions of a plan in queue order. */
  @FunctionalInterface
  public interface Listener {
    /** A listener that ignores all decisions. */
    Listener NONE = decision -> {};

    /** Called once for each queue entry. */
    void onDecision(EntryDecision decision);
  }
}
