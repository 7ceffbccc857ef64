package io.cherryspool.controller.fleet;

/**
 * What a round may do with a machine, as far as this depends on the contact with its worker rather
 * than on its tasks.
 *
 * @param isSchedulable whether tasks may be placed on the machine
 * @param areCommandsFenced whether no command sent earlier may still be executed there; if one may,
 *     the absence of a task from a heartbeat proves nothing
 */
public record MachineEligibility(boolean isSchedulable, boolean areCommandsFenced) {
  /** The eligibility of a machine that is not known. */
  public static final MachineEligibility UNKNOWN = new MachineEligibility(false, false);

  /** Whether the later eligibility allows a round something that this one does not. */
  public boolean isImprovedBy(MachineEligibility after) {
    return (!isSchedulable && after.isSchedulable)
        || (!areCommandsFenced && after.areCommandsFenced);
  }
}
