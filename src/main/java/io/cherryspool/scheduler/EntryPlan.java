package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import java.util.List;
import java.util.Optional;

/** What a plan has decided so far on an entry of the queue. */
final class EntryPlan {
  private final QueueOrder.Entry entry;
  private int tried;
  private int placed;
  private int charged;
  private int unschedulable;
  private HoldCause machineCause = HoldCause.NO_MACHINE;

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
  List<Integer> overQuota() {
    return entry.tasks().subList(tried, entry.tasks().size());
  }

  int overQuotaCount() {
    return entry.tasks().size() - tried;
  }

  /** How many tasks are assigned to machines. */
  int placed() {
    return placed;
  }

  /** How many tasks the quota allows, and no machine has room for. */
  int lackingMachine() {
    return tried - placed;
  }

  /** Takes in what became of the next tasks that the quota allows. */
  void tried(int count, TaskAssigner.Result result) {
    tried += count;
    placed += result.placed();
    if (result.placed() < count) {
      machineCause = result.causeOfRest();
    }
  }

  /** The quota that is kept for tasks which are not placed. */
  Resources chargedQuota() {
    return job().perTask().times(charged);
  }

  /** As above, as far as the quota is kept for a promoted task that it does not allow yet. */
  Resources chargedQuotaOverQuota() {
    return entry.isPromoted() && overQuotaCount() > 0 ? chargedQuota() : Resources.NONE;
  }

  /** Keeps the team's quota for so many tasks that are not placed, in place of those before. */
  void charge(int tasks) {
    charged = tasks;
  }

  /** How many tasks the fleet lacks machines for, as far as the team's quota could hold them. */
  int unschedulable() {
    return unschedulable;
  }

  void setUnschedulable(int tasks) {
    unschedulable = tasks;
  }

  /** The decision as it stands. */
  EntryDecision decision() {
    return new EntryDecision(
        job().id(),
        entry.isPromoted(),
        placed,
        overQuotaCount(),
        lackingMachine(),
        lackingMachine() > 0 ? Optional.of(machineCause) : Optional.empty());
  }
}
