package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import java.util.List;
import java.util.Optional;

/** What a plan has decided so far on an entry of the queue. */
final class EntryPlan {
  private final QueueOrder.Entry entry;
  private int tried;
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

  /** The tasks that the quota did not allow so far. */
  List<Integer> overQuotaTasks() {
    return entry.tasks().subList(tried, entry.tasks().size());
  }

  int overQuotaCount() {
    return entry.tasks().size() - tried;
  }

  /** How many tasks are assigned to machines. */
  int placedCount() {
    return placedCount;
  }

  /** How many tasks the quota allows, and no machine has room for. */
  int withoutMachineCount() {
    return tried - placedCount;
  }

  /** Takes in what became of the next tasks that the quota allows. */
  void tried(int count, TaskAssigner.Result result) {
    tried += count;
    placedCount += result.placed();
    if (result.placed() < count) {
      unschedulableCause = result.unplacedCause();
    }
  }

  /** The quota that is kept for tasks which are not placed. */
  Resources reservedQuota() {
    return job().perTask().times(reservedCount);
  }

  /** As above, as far as the quota is kept for a promoted task that it does not allow yet. */
  Resources reservedQuotaOfPromotedTask() {
    return entry.isPromoted() && overQuotaCount() > 0 ? reservedQuota() : Resources.NONE;
  }

  /** Keeps the team's quota for so many tasks that are not placed, in place of those before. */
  void reserveQuota(int tasks) {
    reservedCount = tasks;
  }

  /** How many tasks the fleet lacks machines for, as far as the team's quota could hold them. */
  int scaleOutCount() {
    return scaleOutCount;
  }

  void setScaleOutCount(int tasks) {
    scaleOutCount = tasks;
  }

  /** The decision as it stands. */
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
