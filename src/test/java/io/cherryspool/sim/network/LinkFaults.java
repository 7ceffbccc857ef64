package io.cherryspool.sim.network;

import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Faults of the messages from one host to another. The opposite direction is not affected. */
public final class LinkFaults {
  /** The additional latency of a message in mode {@link Mode#DELAY}. */
  static final Duration DELAY = Duration.ofMillis(700);

  private final VirtualTime time;
  private final Map<Direction, Failure> failures = new HashMap<>();

  /** What happens to a message. */
  public enum Mode {
    /** The message is lost. */
    DROP,
    /** The connection is reset, and the request fails immediately. */
    RESET,
    /** The message arrives when the fault ends. */
    HOLD,
    /** The message arrives later by {@link LinkFaults#DELAY}. */
    DELAY
  }

  /** The direction of messages between two hosts. */
  record Direction(String from, String to) {}

  /** A fault of one direction. A new fault of the same direction replaces it. */
  private record Failure(Mode mode, Duration until) {}

  LinkFaults(VirtualTime time) {
    this.time = time;
  }

  /** Applies a fault to the messages from one host to the other for the given duration. */
  public void fail(String from, String to, Mode mode, Duration duration) {
    failures.put(new Direction(from, to), new Failure(mode, time.now().plus(duration)));
  }

  /** Returns the mode of the active fault of the direction; empty if there is none. */
  Optional<Mode> mode(String from, String to) {
    return activeFailure(from, to).map(Failure::mode);
  }

  /** Returns the time until the active fault of the direction ends; zero if there is none. */
  Duration remaining(String from, String to) {
    return activeFailure(from, to)
        .map(failure -> failure.until.minus(time.now()))
        .orElse(Duration.ZERO);
  }

  private Optional<Failure> activeFailure(String from, String to) {
    if (failures.isEmpty()) {
      return Optional.empty();
    }
    Direction direction = new Direction(from, to);
    Failure failure = failures.get(direction);
    if (failure != null && failure.until.compareTo(time.now()) <= 0) {
      failures.remove(direction);
      failure = null;
    }
    return Optional.ofNullable(failure);
  }
}
