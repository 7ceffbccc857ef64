package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.PreemptibleMachine.Candidate;
import java.util.Comparator;
import java.util.List;

/**
 * A choice of victims on one machine that makes room for one pending task.
 *
 * @param costCpuSeconds the CPU seconds that the victims lose and that the pending task waits for
 *     its image
 */
record PreemptionChoice(
    PreemptibleMachine machine, List<Candidate> victims, double costCpuSeconds) {
  /** Orders by cost, and choices of equal cost by the machine's name. */
  static final Comparator<PreemptionChoice> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionChoice::costCpuSeconds)
          .thenComparing(PreemptionChoice::machineName);

  /** Creates a choice with its cost for a task of the job. */
  static PreemptionChoice of(PreemptibleMachine machine, List<Candidate> victims, Job job) {
    double cost = fetchCpuSeconds(machine.machine(), job);
    for (Candidate victim : victims) {
      cost += victim.lostCpuSeconds();
    }
    return new PreemptionChoice(machine, victims, cost);
  }

  /**
   * Returns the CPU seconds that a task would wait for its image, which may be far longer than its
   * run time.
   */
  private static double fetchCpuSeconds(MachineView machine, Job job) {
    if (machine.cachedImages().contains(job.image())) {
      return 0;
    }
    return 1 + machine.type().fetchSeconds(job.imageGb()) * job.perTask().cpus();
  }

  String machineName() {
    return machine.machine().name();
  }

  /** Returns the resources that the victims of this team use. */
  Resources usageOf(String team) {
    Resources sum = Resources.NONE;
    for (Candidate victim : victims) {
      if (victim.job().team().equals(team)) {
        sum = sum.plus(victim.job().perTask());
      }
    }
    return sum;
  }
}
