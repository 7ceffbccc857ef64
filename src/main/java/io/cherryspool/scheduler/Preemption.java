package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import io.cherryspool.scheduler.PreemptibleMachine.Candidate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Chooses the running tasks to preempt for pending tasks.
 *
 * <p>Tasks of lower priority are preempted for a pending task that lacks a machine, and tasks of
 * the same team with lower priority for one that lacks quota. Tasks with which a team exceeds its
 * guaranteed quota are preempted, whatever their priority, for work within another team's
 * guaranteed quota. Victims with the least loss are preferred. Tasks are preempted for lack of a
 * machine only if the pending task then has room.
 */
final class Preemption {
  /** Time added to a victim's checkpoint duration in its grace period. */
  private static final int GRACE_MARGIN_SECONDS = 1;

  private final ClusterView view;
  private final TeamUsage usage;
  private final List<PreemptibleMachine> machines = new ArrayList<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<RoundPlan.Victim> victims = new ArrayList<>();
  private final Set<String> reservedMachines = new HashSet<>();

  /**
   * The machines with tasks that are being stopped. Only these few need to be examined for a job
   * that may not preempt.
   */
  private final List<PreemptibleMachine> stoppingMachines = new ArrayList<>();

  private int lowestPriority = Integer.MAX_VALUE;

  /**
   * Creates a preemption without victims.
   *
   * @param assignments the tasks that the round has placed so far
   */
  Preemption(ClusterView view, List<RoundPlan.Assignment> assignments) {
    this.view = view;
    this.usage = new TeamUsage(view.usageByTeam());
    view.jobs().forEach(item -> jobs.put(item.job().id(), item.job()));
    Map<String, Resources> assignedByMachine = addUsage(assignments);
    for (MachineView machine : view.machines()) {
      machines.add(
          toPreemptible(machine, assignedByMachine.getOrDefault(machine.name(), Resources.NONE)));
    }
  }

  /** Returns the tasks to preempt, in the order in which they were chosen. */
  List<RoundPlan.Victim> victims() {
    return victims;
  }

  /**
   * Returns the names of the machines on which room is reserved for pending tasks until the tasks
   * that are being stopped there have ended.
   */
  Set<String> reservedMachines() {
    return reservedMachines;
  }

  /** Adds further tasks that the round places, which use room and quota. */
  void addAssignments(List<RoundPlan.Assignment> assignments) {
    if (assignments.isEmpty()) {
      return;
    }
    Map<String, Resources> assignedByMachine = addUsage(assignments);
    for (PreemptibleMachine machine : machines) {
      Resources assigned = assignedByMachine.get(machine.machine().name());
      if (assigned != null) {
        machine.reserve(assigned);
      }
    }
  }

  /**
   * Adds the assigned tasks to their teams' usage, and returns the assigned resources by machine.
   */
  private Map<String, Resources> addUsage(List<RoundPlan.Assignment> assignments) {
    Map<String, Resources> assignedByMachine = new HashMap<>();
    for (RoundPlan.Assignment assignment : assignments) {
      Job job = jobs.get(assignment.jobId());
      assignedByMachine.merge(assignment.machine(), job.perTask(), Resources::plus);
      addUsage(job);
    }
    return assignedByMachine;
  }

  private PreemptibleMachine toPreemptible(MachineView machine, Resources assigned) {
    PreemptibleMachine result = new PreemptibleMachine(machine, assigned);
    for (RunningTask task : machine.runningTasks()) {
      if (task.isStopping()) {
        result.addStoppingTask(task);
        subtractUsage(task.job());
      } else {
        int priority = QueueOrder.priority(task.job(), view);
        lowestPriority = Math.min(lowestPriority, priority);
        result.addCandidate(Candidate.of(task, priority, view.monotonicNow()));
      }
    }
    result.sortCandidates();
    if (result.hasStoppingTasks()) {
      stoppingMachines.add(result);
    }
    return result;
  }

  private void addUsage(Job job) {
    usage.add(job.team(), job.perTask());
  }

  private void subtractUsage(Job job) {
    usage.subtract(job.team(), job.perTask());
  }

  private void preempt(PreemptibleMachine machine, Candidate victim) {
    machine.preempt(victim);
    victims.add(new RoundPlan.Victim(victim.task().task(), gracePeriod(victim.job())));
    subtractUsage(victim.job());
  }

  /**
   * Preempts tasks to make room for as many pending tasks as possible, at the least cost. Jobs that
   * require a single zone or a spread over zones get no room this way.
   *
   * @param pendingCount the number of tasks within the team's quota for which no machine has room
   * @return the number of these tasks for which machines will have room once all stopping tasks
   *     have ended
   */
  int preemptForRoom(Job job, int pendingCount) {
    if (job.requiresSingleZone() || job.requiresZoneSpread()) {
      return 0;
    }
    PriorityQueue<PreemptionChoice> choices =
        findChoices(job, mayPreemptFor(job) ? machines : stoppingMachines);
    int left = pendingCount;
    while (left > 0) {
      Optional<PreemptionChoice> best = pollBest(choices, job);
      if (best.isEmpty()) {
        break;
      }
      makeRoom(best.get(), job);
      addChoice(choices, best.get().machine(), job);
      left--;
    }
    return pendingCount - left;
  }

  /**
   * Returns the choices of victims for one task of the job, one for each suitable machine, cheapest
   * first.
   */
  private PriorityQueue<PreemptionChoice> findChoices(
      Job job, List<PreemptibleMachine> candidateMachines) {
    PriorityQueue<PreemptionChoice> result = new PriorityQueue<>(PreemptionChoice.CHEAPEST_FIRST);
    for (PreemptibleMachine machine : candidateMachines) {
      if (machine.isAllowedFor(job) && !machine.machine().excludedJobs().contains(job.id())) {
        addChoice(result, machine, job);
      }
    }
    return result;
  }

  /** Removes and returns the cheapest choice that is still valid; empty if there is none. */
  private Optional<PreemptionChoice> pollBest(PriorityQueue<PreemptionChoice> choices, Job job) {
    while (!choices.isEmpty()) {
      PreemptionChoice best = choices.poll();
      // Earlier preemptions may have removed the excess over a guaranteed quota that the choice
      // relies on.
      Optional<List<Candidate>> current = findVictims(best.machine(), job);
      if (current.isPresent() && current.get().equals(best.victims())) {
        return Optional.of(best);
      }
      if (current.isPresent()) {
        addChoice(choices, best.machine(), job);
      }
    }
    return Optional.empty();
  }

  /** Preempts the victims of the choice, and reserves the room for a task of the job. */
  private void makeRoom(PreemptionChoice choice, Job job) {
    choice.victims().forEach(victim -> preempt(choice.machine(), victim));
    choice.machine().reserve(job.perTask());
    reservedMachines.add(choice.machineName());
    addUsage(job);
  }

  private boolean mayPreemptFor(Job job) {
    return job.priority().ordinal() > lowestPriority || isTeamWithinGuarantee(job);
  }

  private boolean isTeamWithinGuarantee(Job job) {
    return view.teamsWithinGuarantee().contains(job.team());
  }

  private void addChoice(
      PriorityQueue<PreemptionChoice> choices, PreemptibleMachine machine, Job job) {
    findVictims(machine, job)
        .ifPresent(found -> choices.add(PreemptionChoice.of(machine, found, job)));
  }

  /**
   * Returns the tasks to preempt so that one task of the job fits on the machine; empty if no
   * preemption achieves this.
   */
  private Optional<List<Candidate>> findVictims(PreemptibleMachine machine, Job job) {
    Resources free = machine.free();
    if (job.perTask().fitsIn(free)) {
      return Optional.of(List.of());
    }
    List<Candidate> chosen = new ArrayList<>();
    Map<String, Resources> chosenByTeam = new HashMap<>();
    for (Candidate candidate : machine.candidates()) {
      if (candidate.hasLowerPriorityThan(job)
          || isExcessUsage(candidate.job().team(), job, chosenByTeam)) {
        chosen.add(candidate);
        chosenByTeam.merge(candidate.job().team(), candidate.job().perTask(), Resources::plus);
        free = free.plus(candidate.job().perTask());
        if (job.perTask().fitsIn(free)) {
          return Optional.of(chosen);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Whether the job's team is within its guaranteed quota, and the other team exceeds its own even
   * without the tasks chosen for preemption.
   *
   * @param chosenByTeam the resources of the tasks chosen for preemption so far, by team
   */
  private boolean isExcessUsage(String otherTeam, Job job, Map<String, Resources> chosenByTeam) {
    if (!isTeamWithinGuarantee(job) || otherTeam.equals(job.team())) {
      return false;
    }
    Team team = view.teams().get(otherTeam);
    Resources remaining =
        usage.of(otherTeam).minus(chosenByTeam.getOrDefault(otherTeam, Resources.NONE));
    return team != null && !team.isWithinGuaranteedQuota(remaining);
  }

  /**
   * Preempts tasks of the job's own team with lower priority, so that the team's quota allows
   * pending tasks. Considers only pending tasks that have room on a machine, or for which room can
   * be made. Without this preemption an urgent job would wait for long tasks of its own team. Does
   * nothing for jobs that require a single zone or a spread over zones.
   */
  void preemptForQuota(Job job, int pendingCount) {
    Team team = view.teams().get(job.team());
    if (team == null
        || job.requiresSingleZone()
        || job.requiresZoneSpread()
        || job.priority().ordinal() <= lowestPriority) {
      return;
    }
    QuotaVictims ownTasks = new QuotaVictims(job, machines);
    if (ownTasks.isEmpty()) {
      return;
    }
    PriorityQueue<PreemptionChoice> choices = findChoices(job, machines);
    for (int left = pendingCount; left > 0; left--) {
      Optional<PreemptionChoice> choice = pollBest(choices, job);
      if (choice.isEmpty()) {
        return;
      }
      Resources requiredUsage =
          usage.of(job.team()).plus(job.perTask()).minus(choice.get().usageOf(job.team()));
      Optional<List<QuotaVictims.Victim>> quotaVictims =
          ownTasks.removeUntilWithinQuota(team, requiredUsage, choice.get().victims());
      if (quotaVictims.isEmpty()) {
        return;
      }
      quotaVictims.get().forEach(victim -> preempt(victim.machine(), victim.candidate()));
      makeRoom(choice.get(), job);
      addChoice(choices, choice.get().machine(), job);
    }
  }

  private static Duration gracePeriod(Job job) {
    return job.checkpointInterval().isZero()
        ? Duration.ZERO
        : job.checkpointDuration().plusSeconds(GRACE_MARGIN_SECONDS);
  }
}
