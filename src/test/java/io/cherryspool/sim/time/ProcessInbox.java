package io.cherryspool.sim.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Everything that reaches a process passes here: its timers, what comes from the network, the
 * answers to its calls. A process that has ended lets nothing in any more; one that stands still
 * takes in all that came meanwhile when it goes on, in any order.
 */
public final class ProcessInbox {
  private final List<Runnable> held = new ArrayList<>();
  private boolean still;
  private boolean isClosed;

  /** A host that neither ends nor stands still, as far as the simulation goes. */
  public static ProcessInbox alwaysOpen() {
    return new ProcessInbox();
  }

  public boolean isClosed() {
    return isClosed;
  }

  public void pass(Runnable event) {
    if (isClosed) {
      return;
    }
    if (still) {
      held.add(event);
    } else {
      event.run();
    }
  }

  public void close() {
    isClosed = true;
    held.clear();
  }

  public void freeze() {
    still = true;
  }

  /** Goes on; the seed says what is taken in first. */
  public void resume(long seed) {
    still = false;
    List<Runnable> late = new ArrayList<>(held);
    held.clear();
    Collections.shuffle(late, new Random(seed));
    late.forEach(this::pass);
  }
}
