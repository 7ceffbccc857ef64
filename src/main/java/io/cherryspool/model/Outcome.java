package io.cherryspool.model;

/** How a job ended. It is written once and never changes. */
public enum Outcome {
  DONE,
  CANCELLED
}
