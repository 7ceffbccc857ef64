package io.cherryspool.model;

/** A team's guarantee and its limit; a limit of 0 in the settings means that there is none. */
public record Team(
    String name, double guaranteedCpus, double cpuQuota, double guaranteedGpus, double gpuQuota) {

  public boolean isWithinQuota(Resources use) {
    return within(use.cpus(), cpuQuota) && within(use.gpus(), gpuQuota);
  }

  /** How many more such tasks the limit allows beside the use, at most {@code wanted}. */
  public int countWithinQuota(Resources use, Resources each, int wanted) {
    double count = wanted;
    if (cpuQuota > 0 && each.cpus() > 0) {
      count = Math.min(count, Math.floor((cpuQuota + 1e-6 - use.cpus()) / each.cpus()));
    }
    if (gpuQuota > 0 && each.gpus() > 0) {
      count = Math.min(count, Math.floor((gpuQuota + 1e-6 - use.gpus()) / each.gpus()));
    }
    return (int) Math.max(0, count);
  }

  /** Whether such a use lies within what the team is guaranteed. */
  public boolean isWithinGuaranteedQuota(Resources use) {
    return use.cpus() <= guaranteedCpus + 1e-6 && use.gpus() <= guaranteedGpus + 1e-6;
  }

  private static boolean within(double use, double max) {
    return max <= 0 || use <= max + 1e-6;
  }
}
