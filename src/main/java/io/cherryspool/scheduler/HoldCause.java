package io.cherryspool.scheduler;

/** Why a round's plan leaves a pending task without a machine. */
public enum HoldCause {
  /** The team's quota does not allow the task beside what the team uses and waits for. */
  OVER_QUOTA("over-quota"),
  /** No machine that the job's constraints allow has room. */
  NO_MACHINE("no-machine"),
  /** A machine has room, but it is reserved for a job that has waited too long for its start. */
  RESERVED_MACHINE("reserved-machine"),
  /** A machine has room, but the job failed there a short while ago. */
  EXCLUDED_MACHINE("excluded-machine"),
  /** A machine has room, but not in a zone that the places of the job's other tasks allow. */
  ZONE_CONSTRAINT("zone-constraint");

  private final String label;

  HoldCause(String label) {
    this.label = label;
  }

  /** The name in metrics and logs. */
  public String label() {
    return label;
  }
}
