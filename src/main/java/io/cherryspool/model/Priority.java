package io.cherryspool.model;

/** A job's priority, from the lowest to the highest: queue ranks are computed from the ordinal. */
public enum Priority {
  /** Runs when nothing else needs the machines. */
  LOW,
  /** The usual priority. */
  NORMAL,
  /** Preempts usual work. */
  HIGH,
  /** Preempts all other work. */
  PRODUCTION
}
