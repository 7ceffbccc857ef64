package io.cherryspool.model;

/** A team's guarantee and its limit; a limit of 0 in the settings means that there is none. */
public record Team(String name, double cpus, double maxCpus, double gpus, double maxGpus) {

  public boolean allows(Resources use) {
    return within(use.cpus(), maxCpus) && within(use.gpus(), maxGpus);
  }

  /** How many more such tasks the limit allows beside the use, at most {@code wanted}. */
  public int room(Resources use, Resources each, int wanted) {
    double count = wanted;
    if (maxCpus > 0 && each.cpus() > 0) {
      count = Math.min(count, Math.floor((maxCpus + 1e-6 - use.cpus()) / each.cpus()));
    }
    if (maxGpus > 0 && each.gpus() > 0) {
      count = Math.min(count, Math.floor((maxGpus + 1e-6 - use.gpus()) / each.gpus()));
    }
    return (int) Math.max(0, count);
  }

  /** Whether such a use lies within what the team is guaranteed. */
  public boolean guaranteed(Resources use) {
    return use.cpus() <= cpus + 1e-6 && use.gpus() <= gpus + 1e-6;
  }

  private static boolean within(double use, double max) {
    return max <= 0 || use <= max + 1e-6;
  }
}
