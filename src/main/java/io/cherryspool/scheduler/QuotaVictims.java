package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.PreemptibleMachine.Candidate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The running tasks that may be preempted for a job of the same team, when the team's quota does
 * not allow the job's tasks.
 */
final class QuotaVictims {
  private final PriorityQueue<Victim> victims =
      new PriorityQueue<>(
          Comparator.comparing(Victim::candidate, PreemptibleMachine.LEAST_LOSS_FIRST));

  /** A task that may be preempted, and the machine on which it runs. */
  record Victim(PreemptibleMachine machine, Candidate candidate) {}

  /** Collects the tasks of the job's team on the machines that have lower priority than the job. */
  QuotaVictims(Job job, Collection<PreemptibleMachine> machines) {
    for (PreemptibleMachine machine : machines) {
      for (Candidate candidate : machine.candidates()) {
        if (candidate.hasLowerPriorityThan(job) && candidate.job().team().equals(job.team())) {
          victims.add(new Victim(machine, candidate));
        }
      }
    }
  }

  boolean isEmpty() {
    return victims.isEmpty();
  }

  /**
   * Removes the tasks with the least loss until the team's usage without them fits into its quota.
   *
   * @param usage the team's usage before these tasks are preempted, with the pending task
   * @param excluded tasks that are preempted in any case
   * @return the removed tasks, or empty if the usage exceeds the quota even without all of them
   */
  Optional<List<Victim>> removeUntilWithinQuota(
      Team team, Resources usage, Collection<Candidate> excluded) {
    Resources remainingUsage = usage;
    List<Victim> result = new ArrayList<>();
    while (!team.isWithinQuota(remainingUsage) && !victims.isEmpty()) {
      Victim victim = victims.poll();
      // The task may have been preempted in the meantime to make room on its machine.
      if (!excluded.contains(victim.candidate)
          && victim.machine.candidates().contains(victim.candidate)) {
        result.add(victim);
        remainingUsage = remainingUsage.minus(victim.candidate.job().perTask());
      }
    }
    return team.isWithinQuota(remainingUsage) ? Optional.of(result) : Optional.empty();
  }
}
