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
  public boolean isWithinQuota(Resources usage) {
    return isWithin(usage.cpus(), cpuQuota) && isWithin(usage.gpus(), gpuQuota);
  }

  /**
   * Returns how many more tasks the quota allows, from 0 to {@code max}.
   *
   * @param usage the team's total usage without these tasks
   * @param perTask the resources that each of these tasks uses
   */
  public int countWithinQuota(Resources usage, Resources perTask, int max) {
    double count = max;
    if (cpuQuota > 0 && perTask.cpus() > 0) {
      count =
          Math.min(
              count, Math.floor((cpuQuota + Resources.EPSILON - usage.cpus()) / perTask.cpus()));
    }
    if (gpuQuota > 0 && perTask.gpus() > 0) {
      count =
          Math.min(
              count, Math.floor((gpuQuota + Resources.EPSILON - usage.gpus()) / perTask.gpus()));
    }
    return (int) Math.max(0, count);
  }

  /** Whether the team's total usage is within its guaranteed quota. */
  public boolean isWithinGuaranteedQuota(Resources usage) {
    return usage.cpus() <= guaranteedCpus + Resources.EPSILON
        && usage.gpus() <= guaranteedGpus + Resources.EPSILON;
  }

  private static boolean isWithin(double usage, double quota) {
    return quota <= 0 || usage <= quota + Resources.EPSILON;
  }
}
