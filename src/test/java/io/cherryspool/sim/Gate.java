package io.cherryspool.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Everything that reaches a process passes here: its timers, what comes from the network, the
 * answers to its calls. A process that has ended lets nothing in any more; one that stands still
 * takes in all that came meanwhile when it goes on, in any order.
 */
final class Gate {
  private final List<Runnable> held = new ArrayList<>();
  private boolean still;
  private boolean closed;

  /** A host that neither ends nor stands still, as far as the simulation goes. */
  static Gate open() {
    return new Gate();
  }

  boolean closed() {
    return closed;
  }

  void pass(Runnable event) {
    if (closed) {
      return;
    }
    if (still) {
      held.add(event);
    } else {
      event.run();
    }
  }

  void close() {
    closed = true;
    held.clear();
  }

  void standStill() {
    still = true;
  }

  /** Goes on; the seed says what is taken in first. */
  void goOn(long seed) {
    still = false;
    List<Runnable> late = new ArrayList<>(held);
    held.clear();
    Collections.shuffle(late, new Random(seed));
    late.forEach(this::pass);
  }
}
