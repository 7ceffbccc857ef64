package io.cherryspool.scheduler;

import java.util.Optional;

/**
 * What a plan decided on one entry of the queue: tasks of one job that have the same place in it.
 *
 * @param jobId the job's id
 * @param isPromoted whether the entry came before all that are not promoted, since its job has
 *     waited too long for its start
 * @param placed how many of the tasks are placed
 * @param overQuota how many the team's quota does not allow
 * @param unschedulable how many lack a machine
 * @param unschedulableCause why those lack one; empty if none does
 */
public record EntryDecision(
    String jobId,
    boolean isPromoted,
    int placed,
    int overQuota,
    int unschedulable,
    Optional<HoldCause> unschedulableCause) {

  /** Receives the decisions of a plan, in the order of the queue. */
  @FunctionalInterface
  public interface Listener {
    /** Ignores all decisions. */
    Listener NONE = decision -> {};

    /** Called once for each entry of the queue. */
    void onDecision(EntryDecision decision);
  }
}
