package io.cherryspool.model;

import java.time.Duration;

/**
 * A machine as the cloud's instance list describes it. The list lags behind the facts.
 *
 * @param address host and port of the machine's agent, null if the list does not have it
 * @param age time since the instance request, at the time that the list describes
 */
public record Instance(
    String name,
    String address,
    String type,
    String zone,
    boolean isSpot,
    Status status,
    Duration age) {

  /** The instance's state according to the cloud. */
  public enum Status {
    /** Requested, and its agent may already be up. */
    BOOTING,
    /** Up, or not up any more since at most the lag of the list. */
    RUNNING,
    /** Stopped by itself; listed until it is deleted, and no longer charged. */
    FAILED
  }
}
