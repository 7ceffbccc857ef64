package io.cherryspool.controller;

/**
 * What a message may change of a machine for the rounds, beside its tasks.
 *
 * @param usable whether the machine may be given work
 * @param settled whether no command sent earlier may still run there, which absence proves nothing
 *     without
 */
record MachineStanding(boolean usable, boolean settled) {
  /** Of a machine that is not known. */
  static final MachineStanding UNKNOWN = new MachineStanding(false, false);

  /** Whether a round may do more with the machine than before. */
  boolean improvedTo(MachineStanding after) {
    return !usable && after.usable || !settled && after.settled;
  }
}
