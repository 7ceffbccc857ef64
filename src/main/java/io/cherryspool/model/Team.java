package io.cherryspool.model;

/** A team's guarantee and its limit; a limit of 0 in the settings means that there is none. */
public record Team(String name, double cpus, double maxCpus, double gpus, double maxGpus) {

  public boolean allows(Resources use) {
    return within(use.cpus(), maxCpus) && within(use.gpus(), maxGpus);
  }

  private static boolean within(double use, double max) {
    return max <= 0 || use <= max + 1e-6;
  }
}
