package io.cherryspool.model;

import java.time.Duration;

/**
 * A machine according to the cloud's instance list, which lags behind the actual state.
 *
 * @param address the host and port of the machine's agent, null if the list does not contain it
 * @param age the time from the request of the instance to the time that the list describes
 */
public record Instance(
    String name,
    String address,
    String type,
    String zone,
    boolean isSpot,
    Status status,
    Duration age) {

  /** The state of an instance according to the cloud. */
  public enum Status {
    /** Requested; its agent may already be running. */
    BOOTING,
    /** Running when the list was current; it may have stopped since then. */
    RUNNING,
    /** Stopped on its own; no longer charged, but listed until it is deleted. */
    FAILED
  }
}
