package io.cherryspool.reachability;

/** How a leader stands with one machine that it has not given up. */
public enum Contact {
  /** The machine's reports come, and it heeds the answers. */
  REPORTING,
  /** Its reports come late, but it answers direct calls, or did so lately. */
  LATE,
  /** Its reports come, and it takes in no answer. */
  DEAF,
  /** Nothing has come from it for longer than a report is late. */
  SILENT,
  /** The cloud has listed it as running for longer than that, and this term has not heard it. */
  NEVER_HEARD,
  /** It was not heard yet, and need not have been. */
  NEW;

  /** Whether its reports and their answers do not get through. */
  boolean missing() {
    return this == LATE || unheard();
  }

  /** Whether nothing gets through in one direction at least. */
  boolean unheard() {
    return this == DEAF || this == SILENT || this == NEVER_HEARD;
  }
}
