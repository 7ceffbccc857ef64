package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;

/**
 * Limits the calls to the cloud to one at a time, since the cloud limits their rate, and allows
 * none after the term has ended. Used on the event loop only.
 */
final class CloudCallSlot {
  private final CloudClient cloud;
  private boolean isInFlight;
  private boolean isClosed;

  CloudCallSlot(CloudClient cloud) {
    this.cloud = cloud;
  }

  /** Whether a call may be made now. */
  boolean isFree() {
    return !isInFlight && !isClosed;
  }

  /** Whether the term has ended. A call in flight may still be answered afterwards. */
  boolean isClosed() {
    return isClosed;
  }

  /** Takes the slot until {@link #release}, and returns the client for the call. */
  CloudClient acquire() {
    isInFlight = true;
    return cloud;
  }

  /** Frees the slot, since the call was answered or has failed. */
  void release() {
    isInFlight = false;
  }

  /** Allows no further calls, since the term has ended. */
  void close() {
    isClosed = true;
  }
}
