package io.cherryspool.sim.network;

import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Faults of single directions between two hosts; the other direction may be well. */
public final class LinkFaults {
  /** How much longer a delayed message takes. */
  static final Duration DELAY = Duration.ofMillis(700);

  private final VirtualTime time;
  private final Map<Direction, Failure> failures = new HashMap<>();

  /** What becomes of a message. */
  public enum Mode {
    /** It is lost. */
    DROP,
    /** The connection is reset, which its sender notices at once. */
    RESET,
    /** It arrives when the fault ends. */
    HOLD,
    /** It takes {@link #DELAY} longer. */
    DELAY
  }

  /** From one host to another. */
  record Direction(String from, String to) {}

  /** A failure under way; one that begins later takes its place. */
  private record Failure(Mode mode, Duration until) {}

  LinkFaults(VirtualTime time) {
    this.time = time;
  }

  /** What goes from the one host to the other fails for so long. */
  public void fail(String from, String to, Mode mode, Duration length) {
    failures.put(new Direction(from, to), new Failure(mode, time.now().plus(length)));
  }

  /** How the direction fails now, if it does. */
  Optional<Mode> mode(String from, String to) {
    return current(from, to).map(Failure::mode);
  }

  /** In what time the direction's present failure ends. */
  Duration remaining(String from, String to) {
    return current(from, to).map(failure -> failure.until.minus(time.now())).orElse(Duration.ZERO);
  }

  private Optional<Failure> current(String from, String to) {
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
