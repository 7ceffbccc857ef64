package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView.MachineView;
import io.cherryspool.scheduler.PreemptibleMachine.Candidate;
import java.util.Comparator;
import java.util.List;

/**
 * What to preempt on a machine for one task.
 *
 * @param costCpuSeconds the CPU seconds that the victims lose and the image fetch takes
 */
record PreemptionChoice(
    PreemptibleMachine machine, List<Candidate> victims, double costCpuSeconds) {
  /** The least cost first, then by the machine's name. */
  static final Comparator<PreemptionChoice> CHEAPEST_FIRST =
      Comparator.comparingDouble(PreemptionChoice::costCpuSeconds)
          .thenComparing(PreemptionChoice::machineName);

  /** The choice with its cost for a task of the job. */
  static PreemptionChoice of(PreemptibleMachine machine, List<Candidate> victims, Job job) {
    double cost = fetchCpuSeconds(machine.machine(), job);
    for (Candidate victim : victims) {
      cost += victim.lostCpuSeconds();
    }
    return new PreemptionChoice(machine, victims, cost);
  }

  /** CPU seconds that a task would wait for its image, which may take far longer than its run. */
  private static double fetchCpuSeconds(MachineView machine, Job job) {
    if (machine.cachedImages().contains(job.image())) {
      return 0;
    }
    return 1 + machine.type().fetchSeconds(job.imageGb()) * job.perTask().cpus();
  }

  String machineName() {
    return machine.machine().name();
  }

  /** What the victims use that are of the team. */
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
