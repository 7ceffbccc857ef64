package io.cherryspool.sim.fakes;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The event loop as a machine sees it that may hang, when its events wait, or be dead, when they
 * are dropped.
 */
final class HangableLoop {
  private final EventLoop loop;
  private final List<Runnable> missedEvents = new ArrayList<>();
  private boolean hung;
  private boolean dead;

  HangableLoop(EventLoop loop) {
    this.loop = loop;
  }

  boolean isHung() {
    return hung;
  }

  boolean isRunning() {
    return !hung && !dead;
  }

  /** Runs the event after a delay, as {@link #run} does. */
  void schedule(Duration delay, Runnable event) {
    loop.schedule(delay, () -> run(event));
  }

  /** Runs the event now, or once the machine goes on, or not at all if it is dead by then. */
  void run(Runnable event) {
    if (hung) {
      missedEvents.add(() -> run(event));
    } else if (!dead) {
      event.run();
    }
  }

  /** Hangs for so long, unless it hangs already; then runs {@code first} and what was missed. */
  void hang(Duration duration, Runnable first) {
    if (!hung) {
      hung = true;
      loop.schedule(duration, () -> resume(first));
    }
  }

  private void resume(Runnable first) {
    hung = false;
    if (!dead) {
      first.run();
      List<Runnable> missed = List.copyOf(missedEvents);
      missedEvents.clear();
      missed.forEach(Runnable::run);
    }
  }

  void kill() {
    dead = true;
  }
}
