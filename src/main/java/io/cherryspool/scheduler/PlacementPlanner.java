package io.cherryspool.scheduler;

import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans a round: goes through the queue in order and places each task on the best machine with
 * room.
 *
 * <p>If a team's quota allows a task but no machine has room for it, the planner first reserves
 * quota for the task. Otherwise later work would use up the quota that the task needs once
 * preemption has made room. If preemption makes no room, the quota is lent: later tasks in the
 * queue that have a machine may use it. Quota stays reserved for two kinds of tasks that are not
 * placed: tasks for which preemption makes room, and one task of each promoted job that some
 * machine could run once it is idle.
 *
 * <p>The cost of a plan depends on the number of tasks that can be placed, not on the number that
 * wait: full machines are left out, the equal tasks of a job are placed together, and once no
 * machine has room for a demand, jobs that need at least as much are not tried.
 */
public final class PlacementPlanner {
  private final ClusterView view;

  /**
   * The quota that each team uses: for its owned tasks, for tasks placed in this round, and for
   * reservations.
   */
  private final TeamUsage usage;

  /**
   * The quota that each team would use if none were lent. It limits the tasks for which machines
   * are requested.
   */
  private final TeamUsage usageWithoutLending;

  private final BinPool bins;
  private final TaskAssigner assigner;
  private final List<EntryPlan> entriesWithoutMachine = new ArrayList<>();
  private final List<EntryPlan> entriesOverQuota = new ArrayList<>();
  private final List<EntryPlan> entryPlans = new ArrayList<>();
  private final Set<String> teamsWithLentQuota = new HashSet<>();

  private PlacementPlanner(ClusterView view) {
    this.view = view;
    this.usage = new TeamUsage(view.usageByTeam());
    this.usageWithoutLending = new TeamUsage(view.usageByTeam());
    view.lentUsageByTeam().forEach(usageWithoutLending::subtract);
    this.bins = new BinPool(view);
    this.assigner = new TaskAssigner(bins);
  }

  /** Returns the plan for the view. Equal views give equal plans. */
  public static RoundPlan plan(ClusterView view) {
    return plan(view, EntryDecision.Listener.NONE);
  }

  /** Returns the plan for the view, and passes the decision on each queue entry to the listener. */
  public static RoundPlan plan(ClusterView view, EntryDecision.Listener listener) {
    PlacementPlanner planner = new PlacementPlanner(view);
    for (QueueOrder.Entry entry : QueueOrder.sortedEntries(view)) {
      planner.place(entry);
    }
    return planner.completePlan(listener);
  }

  private RoundPlan completePlan(EntryDecision.Listener listener) {
    List<RoundPlan.Victim> victims = List.of();
    if (!entriesWithoutMachine.isEmpty() || !entriesOverQuota.isEmpty()) {
      Preemption preemption = new Preemption(view, assigner.assignments());
      int placedBefore = assigner.assignments().size();
      lendUnusableQuota(preemption);
      placeOnLentQuota(preemption);
      List<RoundPlan.Assignment> all = assigner.assignments();
      preemption.addAssignments(all.subList(placedBefore, all.size()));
      for (EntryPlan plan : entriesOverQuota) {
        if (plan.overQuotaCount() > 0) {
          preemption.preemptForQuota(plan.job(), plan.overQuotaCount());
        }
      }
      victims = preemption.victims();
    }
    List<RoundPlan.TaskGroup> unschedulable = unschedulableGroups();
    return new RoundPlan(
        assigner.assignments(),
        victims,
        unschedulable,
        RelocatableTasks.find(view, unschedulable),
        countHeldTasks(listener),
        assigner.machinesExamined());
  }

  /** Places as many of the entry's tasks as the team's quota and the machines allow. */
  private void place(QueueOrder.Entry entry) {
    EntryPlan plan = new EntryPlan(entry);
    entryPlans.add(plan);
    int allowedWithoutLending = countWithinQuota(usageWithoutLending, plan);
    int allowed = countWithinQuota(usage, plan);
    if (allowed > 0) {
      assignTasks(plan, allowed, false);
      plan.setReservedCount(plan.withoutMachineCount());
      usage.add(plan.team(), plan.reservedQuota());
      reserveMachineIfPromoted(plan);
    } else if (entry.isPromoted() && bins.hasEligibleMachine(plan.job())) {
      // Smaller jobs would otherwise use the quota that the team's other tasks free next.
      plan.setReservedCount(1);
      usage.add(plan.team(), plan.reservedQuota());
      usageWithoutLending.add(plan.team(), plan.reservedQuota());
    }
    recordScaleOutCount(plan, allowedWithoutLending);
    if (plan.withoutMachineCount() > 0) {
      entriesWithoutMachine.add(plan);
    }
    if (plan.overQuotaCount() > 0) {
      entriesOverQuota.add(plan);
    }
  }

  private void reserveMachineIfPromoted(EntryPlan plan) {
    if (plan.entry().isPromoted() && plan.withoutMachineCount() > 0) {
      bins.reserve(plan.job());
    }
  }

  /**
   * Assigns the entry's next tasks to machines, and adds those that were placed to the team's
   * usage.
   */
  private void assignTasks(EntryPlan plan, int count, boolean usesLentQuota) {
    List<Integer> tasks = plan.overQuotaTasks().subList(0, count);
    TaskAssigner.Result result = assigner.assign(plan.entry().view(), tasks, usesLentQuota);
    plan.recordResult(count, result);
    usage.add(plan.team(), plan.job().perTask().times(result.placedCount()));
    usageWithoutLending.add(plan.team(), plan.job().perTask().times(result.placedCount()));
  }

  /**
   * Records how many tasks of the entry need additional machines. These are the tasks without a
   * machine that the team's quota would allow if none of it were lent. Together with the team's
   * usage without lending they stay within its quota.
   */
  private void recordScaleOutCount(EntryPlan plan, int allowedWithoutLending) {
    int wanted = allowedWithoutLending - plan.placedCount();
    if (wanted > 0 && (plan.withoutMachineCount() > 0 || !bins.hasRoom(plan.job()))) {
      plan.setScaleOutCount(wanted);
      usageWithoutLending.add(plan.team(), plan.job().perTask().times(wanted));
    }
  }

  private int countWithinQuota(TeamUsage teamUsage, EntryPlan plan) {
    Team team = view.teams().get(plan.team());
    return team == null
        ? 0
        : team.countWithinQuota(
            teamUsage.of(plan.team()), plan.job().perTask(), plan.overQuotaCount());
  }

  /**
   * Cancels the reservations of tasks for which no machine will become free, so that their quota is
   * lent.
   */
  private void lendUnusableQuota(Preemption preemption) {
    for (EntryPlan plan : entriesWithoutMachine) {
      int reservedCount = preemption.preemptForRoom(plan.job(), plan.withoutMachineCount());
      if (reservedCount == 0 && plan.entry().isPromoted() && bins.hasEligibleMachine(plan.job())) {
        reservedCount = 1;
      }
      if (reservedCount < plan.withoutMachineCount()) {
        usage.subtract(plan.team(), plan.reservedQuota());
        plan.setReservedCount(reservedCount);
        usage.add(plan.team(), plan.reservedQuota());
        teamsWithLentQuota.add(plan.team());
      }
    }
  }

  /** Places tasks that were over their team's quota and now fit into it because quota was lent. */
  private void placeOnLentQuota(Preemption preemption) {
    if (teamsWithLentQuota.isEmpty() || entriesOverQuota.isEmpty()) {
      return;
    }
    bins.reserve(preemption.reservedMachines());
    for (EntryPlan plan : entriesOverQuota) {
      if (teamsWithLentQuota.contains(plan.team())) {
        placeOnLentQuota(plan);
      }
    }
  }

  private void placeOnLentQuota(EntryPlan plan) {
    Resources reserved = plan.reservedQuotaOfPromotedTask();
    usage.subtract(plan.team(), reserved);
    int allowed = countWithinQuota(usage, plan);
    if (allowed > 0) {
      assignTasks(plan, allowed, true);
      reserveMachineIfPromoted(plan);
    }
    boolean isFullyPlaced = plan.overQuotaCount() == 0 && plan.withoutMachineCount() == 0;
    usage.add(plan.team(), isFullyPlaced ? Resources.NONE : reserved);
  }

  private List<RoundPlan.TaskGroup> unschedulableGroups() {
    List<RoundPlan.TaskGroup> result = new ArrayList<>();
    for (EntryPlan plan : entryPlans) {
      if (plan.scaleOutCount() > 0) {
        result.add(new RoundPlan.TaskGroup(plan.job(), plan.scaleOutCount()));
      }
    }
    return result;
  }

  private Map<HoldCause, Integer> countHeldTasks(EntryDecision.Listener listener) {
    Map<HoldCause, Integer> result = new EnumMap<>(HoldCause.class);
    for (EntryPlan plan : entryPlans) {
      EntryDecision decision = plan.decision();
      decision
          .unschedulableCause()
          .ifPresent(cause -> result.merge(cause, decision.unschedulableCount(), Integer::sum));
      if (decision.overQuotaCount() > 0) {
        result.merge(HoldCause.OVER_QUOTA, decision.overQuotaCount(), Integer::sum);
      }
      listener.onDecision(decision);
    }
    return result;
  }
}
