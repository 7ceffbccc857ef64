package io.cherryspool.controller.election;

import java.time.Duration;

/** A lease of this node in the state service, and when it was last surely renewed. */
final class StateStoreLease {
  private final long id;
  private final Duration length;
  private Duration lastRenewalSentAt;
  private boolean isRenewing;

  /**
   * @param taken when the request that took it was sent
   */
  StateStoreLease(long id, Duration length, Duration taken) {
    this.id = id;
    this.length = length;
    this.lastRenewalSentAt = taken;
  }

  long id() {
    return id;
  }

  Duration length() {
    return length;
  }

  /** When the last renewal that was confirmed was sent. */
  Duration lastRenewalSentAt() {
    return lastRenewalSentAt;
  }

  /** Whether a renewal is under way. */
  boolean isRenewing() {
    return isRenewing;
  }

  void beginRenewal() {
    isRenewing = true;
  }

  void endRenewal() {
    isRenewing = false;
  }

  /** A renewal sent at this moment was confirmed. */
  void confirmRenewal(Duration sent) {
    lastRenewalSentAt = sent;
  }

  /** Whether it surely still holds. */
  boolean isValidAt(Duration now) {
    return now.minus(lastRenewalSentAt).compareTo(length) < 0;
  }
}
