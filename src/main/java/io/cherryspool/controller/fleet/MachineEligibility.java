package io.cherryspool.controller.fleet;

/**
 * What a message may change of a machine for the rounds, beside its tasks.
 *
 * @param schedulable whether the machine may be given work
 * @param commandsFenced whether no command sent earlier may still run there, which absence proves
 *     nothing without
 */
public record MachineEligibility(boolean schedulable, boolean commandsFenced) {
  /** Of a machine that is not known. */
  public static final MachineEligibility UNKNOWN = new MachineEligibility(false, false);

  /** Whether a round may do more with the machine than before. */
  public boolean isImprovedBy(MachineEligibility after) {
    return !schedulable && after.schedulable || !commandsFenced && after.commandsFenced;
  }
}
