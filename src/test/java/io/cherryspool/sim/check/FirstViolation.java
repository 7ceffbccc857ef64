package io.cherryspool.sim.check;

import io.cherryspool.sim.time.VirtualTime;

/**
 * Records the first violation of a rule, to be thrown later from the loop that runs the simulation.
 * An error that is thrown in the callback of a future would only fail that future, not the test.
 */
final class FirstViolation {
  private final VirtualTime time;
  private String message;

  FirstViolation(VirtualTime time) {
    this.time = time;
  }

  /** Records a violation if the condition is true and no violation was recorded before. */
  void recordIf(boolean isViolated, String rule, String details) {
    if (isViolated && message == null) {
      message = String.format("%s: %s at %.3f s", rule, details, time.seconds());
    }
  }

  /** Throws the recorded violation, if there is one. */
  void throwIfAny() {
    if (message != null) {
      throw new AssertionError(message);
    }
  }
}
