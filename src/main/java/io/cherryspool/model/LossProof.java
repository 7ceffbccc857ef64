package io.cherryspool.model;

/** The observation that proves that an attempt was lost with its machine. */
public enum LossProof {
  /** The cloud has confirmed the deletion of the machine. */
  MACHINE_DELETED("machine-deleted"),
  /** The machine's worker is in a later agent epoch than the attempt. */
  LATER_AGENT_EPOCH("later-agent-epoch"),
  /** The last lease that any leader may have given to the worker has expired. */
  LEASE_EXPIRED("lease-expired");

  private final String label;

  LossProof(String label) {
    this.label = label;
  }

  /** Returns the name of the proof in metrics and logs. */
  public String label() {
    return label;
  }
}
