package io.cherryspool.model;

import java.time.Duration;

/** A machine as the cloud's list tells it, some time late. */
public record Instance(
    String name,
    String address,
    String type,
    String zone,
    boolean isSpot,
    Status status,
    Duration age) {

  /** What the cloud says of the machine. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }
}
