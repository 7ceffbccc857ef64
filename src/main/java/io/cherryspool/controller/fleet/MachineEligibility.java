package io.cherryspool.controller.fleet;

/**
 * What a round may do with a machine, as far as a heartbeat may change it beside its tasks.
 *
 * @param schedulable whether the machine may be given work
 * @param commandsFenced whether no command sent earlier may still run there; otherwise the absence
 *     of a task proves nothing
 */
public record MachineEligibility(boolean schedulable, boolean commandsFenced) {
  /** The eligibility of a machine that is not known. */
  public static final MachineEligibility UNKNOWN = new MachineEligibility(false, false);

  /** Whether a round may do more with the machine after the change than before. */
  public boolean isImprovedBy(MachineEligibility after) {
    return (!schedulable && after.schedulable) || (!commandsFenced && after.commandsFenced);
  }
}
