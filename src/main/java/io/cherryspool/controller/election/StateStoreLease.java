package io.cherryspool.controller.election;

import java.time.Duration;

/** A lease that the state store has granted to this node, and the state of its renewal. */
final class StateStoreLease {
  private final long id;
  private final Duration length;
  private Duration lastRenewalSentAt;
  private boolean isRenewing;

  /**
   * Creates a lease that was just granted.
   *
   * @param requestSentAt when the request for the lease was sent, on the event loop's clock
   */
  StateStoreLease(long id, Duration length, Duration requestSentAt) {
    this.id = id;
    this.length = length;
    this.lastRenewalSentAt = requestSentAt;
  }

  /** The id that the state store has given to the lease. */
  long id() {
    return id;
  }

  /** How long the lease is valid after a renewal. */
  Duration length() {
    return length;
  }

  /**
   * When the last confirmed renewal was sent, on the event loop's clock; before the first one, when
   * the request for the lease was sent.
   */
  Duration lastRenewalSentAt() {
    return lastRenewalSentAt;
  }

  /** Whether a renewal has been sent and not answered yet. */
  boolean isRenewing() {
    return isRenewing;
  }

  /** Records that a renewal is sent. */
  void beginRenewal() {
    isRenewing = true;
  }

  /** Records that the renewal was answered or has failed. */
  void endRenewal() {
    isRenewing = false;
  }

  /** Records that the renewal sent at this time was confirmed. */
  void confirmRenewal(Duration sentAt) {
    lastRenewalSentAt = sentAt;
  }

  /**
   * Whether the lease is certain to be valid at this time. False does not mean that it has expired.
   */
  boolean isValidAt(Duration now) {
    return now.minus(lastRenewalSentAt).compareTo(length) < 0;
  }
}
