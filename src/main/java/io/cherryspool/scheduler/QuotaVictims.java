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

/** A team's running tasks that may be preempted for a job at the team's quota. */
final class QuotaVictims {
  private final PriorityQueue<Victim> victims =
      new PriorityQueue<>(
          Comparator.comparing(Victim::candidate, PreemptibleMachine.LEAST_LOSS_FIRST));

  /** A task that may be preempted, and where it runs. */
  record Victim(PreemptibleMachine machine, Candidate candidate) {}

  /** The tasks of the job's team on the machines that are of lower priority. */
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
   * Removes as many tasks as must go so that such a use fits into the team's quota, those that lose
   * least; empty if it does not fit without all of them.
   *
   * @param excluded tasks that are to be preempted anyway
   */
  Optional<List<Victim>> take(Team team, Resources use, Collection<Candidate> excluded) {
    Resources left = use;
    List<Victim> result = new ArrayList<>();
    while (!team.isWithinQuota(left) && !victims.isEmpty()) {
      Victim victim = victims.poll();
      // Others of them may have been preempted for room meanwhile.
      if (!excluded.contains(victim.candidate)
          && victim.machine.candidates().contains(victim.candidate)) {
        result.add(victim);
        left = left.minus(victim.candidate.job().perTask());
      }
    }
    return team.isWithinQuota(left) ? Optional.of(result) : Optional.empty();
  }
}
