package io.cherryspool.model;

/** How a job ended. A job's outcome is recorded once and never changes. */
public enum Outcome {
  /** All tasks were completed. */
  DONE,
  /** The user cancelled the job before all tasks were done. */
  CANCELLED
}
