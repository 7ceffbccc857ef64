package io.cherryspool.reachability;

/** The state of a leader's contact with one machine that it has not evicted. */
public enum ContactState {
  /** The machine's heartbeats arrive, and it receives the answers. */
  REACHABLE,
  /**
   * The machine's heartbeats are late, but it answers direct calls, or has answered one recently.
   */
  LATE,
  /** The machine's heartbeats arrive, but it does not receive the answers. */
  NOT_RECEIVING,
  /** No message has arrived from the machine for longer than a heartbeat may be late. */
  SILENT,
  /**
   * No message has arrived from the machine in this term, although the cloud has listed it as
   * running for longer than a heartbeat may be late.
   */
  NEVER_SEEN,
  /** No message has arrived from the machine yet, and none is overdue. */
  NEW;

  /** Whether the machine's heartbeats, or the answers to them, are not delivered in time. */
  boolean isMissing() {
    return this == LATE || isUnreachable();
  }

  /** Whether no messages arrive from the machine, or none arrive at it. */
  boolean isUnreachable() {
    return this == NOT_RECEIVING || this == SILENT || this == NEVER_SEEN;
  }
}
