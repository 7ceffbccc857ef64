package io.cherryspool.model;

/**
 * The priority of a job, from lowest to highest. The order matters, since the queue order uses the
 * ordinals.
 */
public enum Priority {
  /** For work that runs when no other work needs the machines. */
  LOW,
  /** The default choice for most work. */
  NORMAL,
  /** For work that may preempt work of low and normal priority. */
  HIGH,
  /** For work that may preempt all work of lower priority. */
  PRODUCTION
}
