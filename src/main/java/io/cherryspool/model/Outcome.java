package io.cherryspool.model;

/** The final outcome of a job, which is recorded once and never changes. */
public enum Outcome {
  /** All tasks are completed. */
  DONE,
  /** The user cancelled the job before all tasks were completed. */
  CANCELLED
}
