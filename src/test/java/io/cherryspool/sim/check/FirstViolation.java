package io.cherryspool.sim.check;

import io.cherryspool.sim.time.VirtualTime;

/**
 * Keeps the first violation of a rule until it is thrown: an error thrown inside a future's
 * callback would only fail that future.
 */
final class FirstViolation {
  private final VirtualTime time;
  private String message;

  FirstViolation(VirtualTime time) {
    this.time = time;
  }

  /** Notes a violation, if it is one and the first. */
  void noteIf(boolean isViolated, String rule, String details) {
    if (isViolated && message == null) {
      message = String.format("%s: %s at %.3f s", rule, details, time.seconds());
    }
  }

  /** Throws the violation that was noted, if there was one. */
  void throwIfAny() {
    if (message != null) {
      throw new AssertionError(message);
    }
  }
}
