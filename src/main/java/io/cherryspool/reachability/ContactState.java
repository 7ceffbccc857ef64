package io.cherryspool.reachability;

/** How a leader stands with one machine that it has not given up. */
public enum ContactState {
  /** The machine's reports come, and it heeds the answers. */
  REACHABLE,
  /** Its reports come late, but it answers direct calls, or did so lately. */
  LATE,
  /** Its reports come, and it takes in no answer. */
  NOT_RECEIVING,
  /** Nothing has come from it for longer than a report is late. */
  SILENT,
  /** The cloud has listed it as running for longer than that, and this term has not heard it. */
  NEVER_SEEN,
  /** It was not heard yet, and need not have been. */
  NEW;

  /** Whether its reports and their answers do not get through. */
  boolean isMissing() {
    return this == LATE || isUnreachable();
  }

  /** Whether nothing gets through in one direction at least. */
  boolean isUnreachable() {
    return this == NOT_RECEIVING || this == SILENT || this == NEVER_SEEN;
  }
}
