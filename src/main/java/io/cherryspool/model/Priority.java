package io.cherryspool.model;

/** From least to most pressing, so that the natural order is the order of importance. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION
}
