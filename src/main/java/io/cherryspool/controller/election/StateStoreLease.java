package io.cherryspool.controller.election;

import java.time.Duration;

/** A lease of this node in the state store, with what is known of its renewals. */
final class StateStoreLease {
  private final long id;
  private final Duration length;
  private Duration lastRenewalSentAt;
  private boolean isRenewing;

  /**
   * Creates the state store lease.
   *
   * @param requestSentAt when the request that was answered by this lease was sent, on the event
   *     loop's clock
   */
  StateStoreLease(long id, Duration length, Duration requestSentAt) {
    this.id = id;
    this.length = length;
    this.lastRenewalSentAt = requestSentAt;
  }

  /** The state store's number of the lease. */
  long id() {
    return id;
  }

  /** For how long the state store keeps the lease after a renewal. */
  Duration length() {
    return length;
  }

  /** When the last renewal that was confirmed was sent, on the event loop's clock. */
  Duration lastRenewalSentAt() {
    return lastRenewalSentAt;
  }

  /** Whether a renewal has been sent and not answered yet. */
  boolean isRenewing() {
    return isRenewing;
  }

  /** Notes that a renewal is sent. */
  void beginRenewal() {
    isRenewing = true;
  }

  /** Notes that the renewal was answered or has failed. */
  void endRenewal() {
    isRenewing = false;
  }

  /** Notes that the renewal sent at this moment was confirmed. */
  void confirmRenewal(Duration sentAt) {
    lastRenewalSentAt = sentAt;
  }

  /**
   * Whether the state store certainly still keeps the lease; false does not mean it has expired.
   */
  boolean isValidAt(Duration now) {
    return now.minus(lastRenewalSentAt).compareTo(length) < 0;
  }
}
