package io.cherryspool.sim.fakes;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The event loop of a machine that may hang or be killed. While the machine hangs, its events wait;
 * once it is killed, they are dropped.
 */
final class HangableLoop {
  private final EventLoop loop;
  private final List<Runnable> missedEvents = new ArrayList<>();
  private boolean isHung;
  private boolean isDead;

  HangableLoop(EventLoop loop) {
    this.loop = loop;
  }

  boolean isHung() {
    return isHung;
  }

  boolean isRunning() {
    return !isHung && !isDead;
  }

  /** Passes the event to {@link #run} after a delay. */
  void schedule(Duration delay, Runnable event) {
    loop.schedule(delay, () -> run(event));
  }

  /**
   * Runs the event now, or once the machine no longer hangs. Drops the event if the machine was
   * killed.
   */
  void run(Runnable event) {
    if (isHung) {
      missedEvents.add(() -> run(event));
    } else if (!isDead) {
      event.run();
    }
  }

  /**
   * Hangs for the given time, unless the machine already hangs. Afterwards runs {@code firstEvent}
   * and then the events that have waited.
   */
  void hang(Duration duration, Runnable firstEvent) {
    if (!isHung) {
      isHung = true;
      loop.schedule(duration, () -> resume(firstEvent));
    }
  }

  private void resume(Runnable firstEvent) {
    isHung = false;
    if (!isDead) {
      firstEvent.run();
      List<Runnable> missed = List.copyOf(missedEvents);
      missedEvents.clear();
      missed.forEach(Runnable::run);
    }
  }

  void kill() {
    isDead = true;
  }
}
