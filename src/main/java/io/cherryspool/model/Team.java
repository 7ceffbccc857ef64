package io.cherryspool.model;

/**
 * A team's quotas. It may use more than its guaranteed quota while no other team needs it, but
 * never more than its quota.
 *
 * @param guaranteedCpus the guaranteed CPU quota
 * @param cpuQuota the CPU quota; 0 for no bound
 * @param guaranteedGpus the guaranteed GPU quota
 * @param gpuQuota the GPU quota; 0 for no bound
 */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {

  /** Whether such a use of the whole team lies within its quota. */
  public boolean isWithinQuota(Resources use) {
    return isWithin(use.cpus(), cpuQuota) && isWithin(use.gpus(), gpuQuota);
  }

  /**
   * How many more tasks the quota allows, from 0 to {@code max}.
   *
   * @param use the team's use without them
   * @param perTask what each of them takes
   */
  public int countWithinQuota(Resources use, Resources perTask, int max) {
    double count = max;
    if (cpuQuota > 0 && perTask.cpus() > 0) {
      count =
          Math.min(count, Math.floor((cpuQuota + Resources.EPSILON - use.cpus()) / perTask.cpus()));
    }
    if (gpuQuota > 0 && perTask.gpus() > 0) {
      count =
          Math.min(count, Math.floor((gpuQuota + Resources.EPSILON - use.gpus()) / perTask.gpus()));
    }
    return (int) Math.max(0, count);
  }

  /** Whether such a use of the whole team lies within its guaranteed quota. */
  public boolean isWithinGuaranteedQuota(Resources use) {
    return use.cpus() <= guaranteedCpus + Resources.EPSILON
        && use.gpus() <= guaranteedGpus + Resources.EPSILON;
  }

  private static boolean isWithin(double use, double quota) {
    return quota <= 0 || use <= quota + Resources.EPSILON;
  }
}
