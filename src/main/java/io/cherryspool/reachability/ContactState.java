package io.cherryspool.reachability;

/** How a leader stands with one machine that it has not given up. */
public enum ContactState {
  /** The machine's heartbeats arrive, and it follows the answers. */
  REACHABLE,
  /** Its heartbeats are late, but it answers direct calls, or did so lately. */
  LATE,
  /** Its heartbeats arrive, and it receives no answer. */
  NOT_RECEIVING,
  /** Nothing has arrived from it for longer than a heartbeat may be late. */
  SILENT,
  /** The cloud has listed it as running for longer than that, and nothing arrived in this term. */
  NEVER_SEEN,
  /** Nothing has arrived from it yet, and nothing needs to have. */
  NEW;

  /** Whether its heartbeats and their answers do not get through. */
  boolean isMissing() {
    return this == LATE || isUnreachable();
  }

  /** Whether nothing gets through in one direction at least. */
  boolean isUnreachable() {
    return this == NOT_RECEIVING || this == SILENT || this == NEVER_SEEN;
  }
}
