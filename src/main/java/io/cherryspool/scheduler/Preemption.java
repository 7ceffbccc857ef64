package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.ClusterView.RunningTask;
import io.cherryspool.scheduler.PreemptibleMachine.Candidate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Chooses the running tasks to preempt for pending ones.
 *
 * <p>Work of lower priority is preempted where a pending task lacks a machine, and where it lacks
 * its own team's quota. What a team uses beyond its guaranteed quota is preempted, at any priority,
 * for work within another team's guaranteed quota. Victims that lose least are preferred. No task
 * is preempted for lack of a machine unless that lets a pending task in.
 */
final class Preemption {
  /** Time that a victim gets beyond what saving its checkpoint should take. */
  private static final int GRACE_MARGIN_SECONDS = 1;

  private final ClusterView view;
  private final Map<String, Resources> usageByTeam;
  private final List<PreemptibleMachine> machines = new ArrayList<>();
  private final List<RoundPlan.Victim> victims = new ArrayList<>();
  private int lowestPriority = Integer.MAX_VALUE;

  private Preemption(ClusterView view, List<RoundPlan.Assignment> assignments) {
    this.view = view;
    this.usageByTeam = new HashMap<>(view.usageByTeam());
    Map<String, Resources> assignedByMachine = addAssignments(assignments);
    for (MachineView machine : view.machines()) {
      machines.add(
          preemptible(machine, assignedByMachine.getOrDefault(machine.name(), Resources.NONE)));
    }
  }

  /**
   * The victims for a round's pending tasks.
   *
   * @param unschedulable the tasks for which no machine has room
   * @param overQuota the tasks that their teams' quotas do not allow
   * @param assignments the tasks that the round places
   */
  static List<RoundPlan.Victim> plan(
      ClusterView view,
      List<RoundPlan.TaskGroup> unschedulable,
      List<RoundPlan.TaskGroup> overQuota,
      List<RoundPlan.Assignment> assignments) {
    if (unschedulable.isEmpty() && overQuota.isEmpty()) {
      return List.of();
    }
    Preemption preemption = new Preemption(view, assignments);
    for (RoundPlan.TaskGroup group : unschedulable) {
      preemption.freeMachinesFor(group);
    }
    for (RoundPlan.TaskGroup group : overQuota) {
      preemption.freeQuotaFor(group);
    }
    return preemption.victims;
  }

  /** Adds the assigned tasks to their teams' usage, and returns what each machine is given. */
  private Map<String, Resources> addAssignments(List<RoundPlan.Assignment> assignments) {
    Map<String, Job> jobs = new HashMap<>();
    view.jobs().forEach(item -> jobs.put(item.job().id(), item.job()));
    Map<String, Resources> assignedByMachine = new HashMap<>();
    for (RoundPlan.Assignment assignment : assignments) {
      Job job = jobs.get(assignment.jobId());
      assignedByMachine.merge(assignment.machine(), job.perTask(), Resources::plus);
      addUsage(job);
    }
    return assignedByMachine;
  }

  private PreemptibleMachine preemptible(MachineView machine, Resources assigned) {
    PreemptibleMachine result = new PreemptibleMachine(machine, assigned);
    for (RunningTask task : machine.runningTasks()) {
      if (task.isStopping()) {
        result.addStopping(task);
        subtractUsage(task.job());
      } else {
        int priority = QueueOrder.priority(task.job(), view);
        lowestPriority = Math.min(lowestPriority, priority);
        result.addCandidate(Candidate.of(task, priority, view.steadyNow()));
      }
    }
    result.sortCandidates();
    return result;
  }

  private void addUsage(Job job) {
    usageByTeam.merge(job.team(), job.perTask(), Resources::plus);
  }

  private void subtractUsage(Job job) {
    usageByTeam.merge(job.team(), job.perTask(), Resources::minus);
  }

  private void preempt(PreemptibleMachine machine, Candidate victim) {
    machine.preempt(victim);
    victims.add(new RoundPlan.Victim(victim.task().task(), gracePeriod(victim.job())));
    subtractUsage(victim.job());
  }

  /**
   * What to preempt on a machine for one task.
   *
   * @param costCpuSeconds the CPU seconds that the victims lose and the image fetch takes
   */
  private record Choice(
      PreemptibleMachine machine, List<Candidate> victims, double costCpuSeconds) {
    String machineName() {
      return machine.machine().name();
    }
  }

  /** Preempts tasks for as many of the pending ones as possible, where that costs least. */
  private void freeMachinesFor(RoundPlan.TaskGroup pending) {
    Job job = pending.job();
    if (!mayFreeMachinesFor(job)) {
      return;
    }
    PriorityQueue<Choice> choices =
        new PriorityQueue<>(
            Comparator.comparingDouble(Choice::costCpuSeconds).thenComparing(Choice::machineName));
    for (PreemptibleMachine machine : machines) {
      if (machine.isAllowedFor(job) && !machine.machine().excludedJobs().contains(job.id())) {
        offerChoice(choices, machine, job);
      }
    }
    int left = pending.taskCount();
    while (left > 0 && !choices.isEmpty()) {
      Choice best = choices.poll();
      // Since the choice was made, the excess over a guaranteed quota may have been preempted.
      Optional<List<Candidate>> current = findVictims(best.machine, job);
      if (current.isEmpty()) {
        continue;
      }
      if (current.get().equals(best.victims)) {
        best.victims.forEach(victim -> preempt(best.machine, victim));
        best.machine.reserve(job);
        addUsage(job);
        left--;
      }
      offerChoice(choices, best.machine, job);
    }
  }

  /** Jobs with constraints on the zones of all their tasks together are left out. */
  private boolean mayFreeMachinesFor(Job job) {
    return !job.requiresSingleZone()
        && !job.requiresZoneSpread()
        && (job.priority().ordinal() > lowestPriority || isTeamWithinGuarantee(job));
  }

  private boolean isTeamWithinGuarantee(Job job) {
    return view.teamsWithinGuarantee().contains(job.team());
  }

  private void offerChoice(PriorityQueue<Choice> choices, PreemptibleMachine machine, Job job) {
    Optional<List<Candidate>> found = findVictims(machine, job);
    if (found.isPresent()) {
      double cost = fetchCpuSeconds(machine.machine(), job);
      for (Candidate victim : found.get()) {
        cost += victim.lossCpuSeconds();
      }
      choices.add(new Choice(machine, found.get(), cost));
    }
  }

  /** CPU seconds that a task would wait for its image, which may take far longer than its run. */
  private static double fetchCpuSeconds(MachineView machine, Job job) {
    if (machine.cachedImages().contains(job.image())) {
      return 0;
    }
    return 1 + machine.type().fetchSeconds(job.imageGb()) * job.perTask().cpus();
  }

  /** The tasks to preempt so that one of the job's fits; empty if no preemption achieves that. */
  private Optional<List<Candidate>> findVictims(PreemptibleMachine machine, Job job) {
    Resources free = machine.free();
    if (job.perTask().fitsIn(free)) {
      return Optional.of(List.of());
    }
    List<Candidate> chosen = new ArrayList<>();
    Map<String, Resources> chosenByTeam = new HashMap<>();
    for (Candidate candidate : machine.candidates()) {
      if (candidate.isBelow(job) || isExcessUsage(candidate.job().team(), job, chosenByTeam)) {
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
   * Whether the job's team is entitled to what another team uses beyond its guaranteed quota, and
   * the other team still does.
   *
   * @param chosenByTeam what is to be preempted already
   */
  private boolean isExcessUsage(String otherTeam, Job job, Map<String, Resources> chosenByTeam) {
    if (!isTeamWithinGuarantee(job) || otherTeam.equals(job.team())) {
      return false;
    }
    Team team = view.teams().get(otherTeam);
    Resources remaining =
        usageByTeam
            .getOrDefault(otherTeam, Resources.NONE)
            .minus(chosenByTeam.getOrDefault(otherTeam, Resources.NONE));
    return team != null && !team.isWithinGuaranteedQuota(remaining);
  }

  private record QuotaVictim(PreemptibleMachine machine, Candidate candidate) {}

  /**
   * Preempts the team's own work of lower priority where the team's quota alone keeps a job from
   * running. Otherwise an urgent job would wait for its own team's long ones.
   */
  private void freeQuotaFor(RoundPlan.TaskGroup pending) {
    Job job = pending.job();
    Team team = view.teams().get(job.team());
    if (team == null
        || job.requiresSingleZone()
        || job.requiresZoneSpread()
        || job.priority().ordinal() <= lowestPriority) {
      return;
    }
    PriorityQueue<QuotaVictim> choices = ownTeamVictims(job);
    int left = pending.taskCount();
    while (left > 0) {
      Resources usage = usageByTeam.getOrDefault(job.team(), Resources.NONE).plus(job.perTask());
      if (team.isWithinQuota(usage)) {
        usageByTeam.put(job.team(), usage);
        left--;
      } else if (choices.isEmpty()) {
        return;
      } else {
        QuotaVictim victim = choices.poll();
        preempt(victim.machine, victim.candidate);
      }
    }
  }

  /** The tasks of the job's team that may be preempted for it, on machines that it can use. */
  private PriorityQueue<QuotaVictim> ownTeamVictims(Job job) {
    PriorityQueue<QuotaVictim> result =
        new PriorityQueue<>(
            Comparator.comparing(QuotaVictim::candidate, PreemptibleMachine.LEAST_LOSS_FIRST));
    for (PreemptibleMachine machine : machines) {
      if (!machine.isAllowedFor(job)) {
        continue;
      }
      for (Candidate candidate : machine.candidates()) {
        if (candidate.isBelow(job) && candidate.job().team().equals(job.team())) {
          result.add(new QuotaVictim(machine, candidate));
        }
      }
    }
    return result;
  }

  private static Duration gracePeriod(Job job) {
    return job.checkpointInterval().isZero()
        ? Duration.ZERO
        : job.checkpointDuration().plusSeconds(GRACE_MARGIN_SECONDS);
  }
}
