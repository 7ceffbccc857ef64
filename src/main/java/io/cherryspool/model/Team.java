package io.cherryspool.model;

/**
 * The quotas of a team. A team may exceed its guaranteed quota while no other team needs the
 * resources, but never its quota.
 *
 * @param guaranteedCpus the guaranteed CPU quota
 * @param cpuQuota the CPU quota, 0 for no limit
 * @param guaranteedGpus the guaranteed GPU quota
 * @param gpuQuota the GPU quota, 0 for no limit
 */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {

  /** Whether the team's total usage is within its quota. */
  public boolean isWithinQuota(Resources use) {
    return isWithin(use.cpus(), cpuQuota) && isWithin(use.gpus(), gpuQuota);
  }

  /**
   * Returns how many more tasks the quota allows, from 0 to {@code max}.
   *
   * @param use the team's total usage without these tasks
   * @param perTask the resources that each of these tasks uses
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

  /** Whether the team's total usage is within its guaranteed quota. */
  public boolean isWithinGuaranteedQuota(Resources use) {
    return use.cpus() <= guaranteedCpus + Resources.EPSILON
        && use.gpus() <= guaranteedGpus + Resources.EPSILON;
  }

  private static boolean isWithin(double use, double quota) {
    return quota <= 0 || use <= quota + Resources.EPSILON;
  }
}
