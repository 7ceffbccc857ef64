package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import java.util.List;
import java.util.Optional;

/** The state of a plan for one queue entry, updated while the plan is made. */
final class EntryPlan {
  private final QueueOrder.Entry entry;
  private int withinQuotaCount;
  private int placedCount;
  private int reservedCount;
  private int scaleOutCount;
  private HoldCause unschedulableCause = HoldCause.NO_MACHINE;

  EntryPlan(QueueOrder.Entry entry) {
    this.entry = entry;
  }

  QueueOrder.Entry entry() {
    return entry;
  }

  Job job() {
    return entry.view().job();
  }

  String team() {
    return job().team();
  }

  /** The tasks that the team's quota has not allowed so far. */
  List<Integer> overQuotaTasks() {
    return entry.tasks().subList(withinQuotaCount, entry.tasks().size());
  }

  int overQuotaCount() {
    return entry.tasks().size() - withinQuotaCount;
  }

  /** The number of tasks that are assigned to machines. */
  int placedCount() {
    return placedCount;
  }

  /** The number of tasks that the quota allows but for which no machine has room. */
  int withoutMachineCount() {
    return withinQuotaCount - placedCount;
  }

  /** Records the result of assigning the next {@code count} tasks, which the quota allows. */
  void recordResult(int count, TaskAssigner.Result result) {
    withinQuotaCount += count;
    placedCount += result.placedCount();
    if (result.placedCount() < count) {
      unschedulableCause = result.unplacedCause();
    }
  }

  /** The quota that is reserved for tasks which are not placed. */
  Resources reservedQuota() {
    return job().perTask().times(reservedCount);
  }

  /**
   * The reserved quota if the entry is promoted and some of its tasks are still over quota,
   * otherwise none.
   */
  Resources reservedQuotaOfPromotedTask() {
    return entry.isPromoted() && overQuotaCount() > 0 ? reservedQuota() : Resources.NONE;
  }

  /** Sets the number of tasks that are not placed and for which the team's quota is reserved. */
  void setReservedCount(int tasks) {
    reservedCount = tasks;
  }

  /**
   * The number of tasks that count towards a scale-out: no machine has room for them, and the
   * team's quota would allow them if none of it were lent.
   */
  int scaleOutCount() {
    return scaleOutCount;
  }

  void setScaleOutCount(int tasks) {
    scaleOutCount = tasks;
  }

  /** Returns the decision on the entry according to the results recorded so far. */
  EntryDecision decision() {
    return new EntryDecision(
        job().id(),
        entry.isPromoted(),
        placedCount,
        overQuotaCount(),
        withoutMachineCount(),
        withoutMachineCount() > 0 ? Optional.of(unschedulableCause) : Optional.empty());
  }
}
