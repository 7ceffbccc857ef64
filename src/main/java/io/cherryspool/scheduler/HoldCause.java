package io.cherryspool.scheduler;

/** The reason why a round's plan does not place a pending task. */
public enum HoldCause {
  /** The team's quota does not allow the task in addition to the team's usage and reservations. */
  OVER_QUOTA("over-quota"),
  /** No machine that the job's constraints allow has room. */
  NO_MACHINE("no-machine"),
  /**
   * Machines have room, but they are reserved for other tasks, such as one of a job that has waited
   * too long for its start.
   */
  RESERVED_MACHINE("reserved-machine"),
  /**
   * Machines have room, but the job is excluded from them because its tasks recently failed there.
   */
  EXCLUDED_MACHINE("excluded-machine"),
  /**
   * Machines have room, but the job's constraint on the zones of its tasks rules out their zones.
   */
  ZONE_CONSTRAINT("zone-constraint");

  private final String label;

  HoldCause(String label) {
    this.label = label;
  }

  /** Returns the name of the cause in metrics and logs. */
  public String label() {
    return label;
  }
}
