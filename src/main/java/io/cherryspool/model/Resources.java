package io.cherryspool.model;

/** What a task takes of a machine, or what a machine has. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Decimal amounts are summed in floating point; this much is rounding, not demand. */
  private static final double EPSILON = 1e-6;

  // Generated record methods are linked at run time; see "Start-up" in docs/design.md.
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

  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Resources times(int count) {
    return new Resources(cpus * count, gpus * count, memoryGb * count);
  }

  /** How many such amounts fit into the room, at most {@code wanted}. */
  public int countFittingIn(Resources room, int wanted) {
    double count = wanted;
    if (cpus > 0) {
      count = Math.min(count, Math.floor((room.cpus + EPSILON) / cpus));
    }
    if (gpus > 0) {
      count = Math.min(count, Math.floor((room.gpus + EPSILON) / gpus));
    }
    if (memoryGb > 0) {
      count = Math.min(count, Math.floor((room.memoryGb + EPSILON) / memoryGb));
    }
    return (int) Math.max(0, count);
  }

  public boolean fitsIn(Resources room) {
    return cpus <= room.cpus + EPSILON
        && gpus <= room.gpus + EPSILON
        && memoryGb <= room.memoryGb + EPSILON;
  }
}
