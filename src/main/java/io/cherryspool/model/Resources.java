package io.cherryspool.model;

/**
 * Amounts of resources, such as the demand of a task or the capacity of a machine. They may be
 * fractional.
 */
public record Resources(double cpus, double gpus, double memoryGb) {
  /** No resources at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Tolerance of comparisons, since floating-point sums of decimal amounts are inexact. */
  static final double EPSILON = 1e-6;

  // Written by hand, since generated record methods are linked at run time; see "Start-up" in
  // docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof Resources other
        && Double.compare(cpus, other.cpus) == 0
        && Double.compare(gpus, other.gpus) == 0
        && Double.compare(memoryGb, other.memoryGb) == 0;
  }

  @Override
  public int hashCode() {
    return 31 * (31 * Double.hashCode(cpus) + Double.hashCode(gpus)) + Double.hashCode(memoryGb);
  }

  /** Returns the sum, component by component. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** Returns the difference, component by component, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** Returns each component multiplied by the count. */
  public Resources times(int count) {
    return new Resources(cpus * count, gpus * count, memoryGb * count);
  }

  /**
   * Returns how many demands of this size fit into the capacity together, from 0 to {@code max}.
   */
  public int countFittingIn(Resources capacity, int max) {
    double count = max;
    if (cpus > 0) {
      count = Math.min(count, Math.floor((capacity.cpus + EPSILON) / cpus));
    }
    if (gpus > 0) {
      count = Math.min(count, Math.floor((capacity.gpus + EPSILON) / gpus));
    }
    if (memoryGb > 0) {
      count = Math.min(count, Math.floor((capacity.memoryGb + EPSILON) / memoryGb));
    }
    return (int) Math.max(0, count);
  }

  /** Whether this demand fits into the capacity. */
  public boolean fitsIn(Resources capacity) {
    return cpus <= capacity.cpus + EPSILON
        && gpus <= capacity.gpus + EPSILON
        && memoryGb <= capacity.memoryGb + EPSILON;
  }
}
