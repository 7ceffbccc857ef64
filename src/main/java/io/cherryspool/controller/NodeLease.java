package io.cherryspool.controller;

import java.time.Duration;

/** A lease of this node in the state service, and when it was last surely renewed. */
final class NodeLease {
  private final long id;
  private final Duration length;
  private Duration renewed;
  private boolean renewing;

  /**
   * @param taken when the request that took it was sent
   */
  NodeLease(long id, Duration length, Duration taken) {
    this.id = id;
    this.length = length;
    this.renewed = taken;
  }

  long id() {
    return id;
  }

  Duration length() {
    return length;
  }

  /** When the last renewal that was confirmed was sent. */
  Duration renewed() {
    return renewed;
  }

  /** Whether a renewal is under way. */
  boolean renewing() {
    return renewing;
  }

  void renewalSent() {
    renewing = true;
  }

  void renewalEnded() {
    renewing = false;
  }

  /** A renewal sent at this moment was confirmed. */
  void confirmed(Duration sent) {
    renewed = sent;
  }

  /** Whether it surely still holds. */
  boolean holds(Duration now) {
    return now.minus(renewed).compareTo(length) < 0;
  }
}
