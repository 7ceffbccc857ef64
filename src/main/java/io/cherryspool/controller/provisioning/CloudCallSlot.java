package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;

/**
 * Hands out the cloud's client for one call at a time, since the cloud bounds the rate of calls,
 * and for none after the term has ended. Used on the event loop only.
 */
final class CloudCallSlot {
  private final CloudClient cloud;
  private boolean inFlight;
  private boolean closed;

  CloudCallSlot(CloudClient cloud) {
    this.cloud = cloud;
  }

  /** Whether a call may be made now. */
  boolean isFree() {
    return !inFlight && !closed;
  }

  /** Whether the term has ended; the call in flight may still be answered. */
  boolean isClosed() {
    return closed;
  }

  /** Takes the slot until {@link #release}. */
  CloudClient acquire() {
    inFlight = true;
    return cloud;
  }

  /** The call is answered, or has failed. */
  void release() {
    inFlight = false;
  }

  /** No call may be made any more. */
  void close() {
    closed = true;
  }
}
