package io.cherryspool.sim.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Delivers events to a simulated process: its timers, messages from the network, and replies to its
 * requests. Events for a process that has ended are dropped. Events for a frozen process are held
 * until it resumes.
 */
public final class ProcessInbox {
  private final List<Runnable> heldEvents = new ArrayList<>();
  private boolean isFrozen;
  private boolean isClosed;

  /** Returns an inbox for a process that the simulation neither ends nor freezes. */
  public static ProcessInbox alwaysOpen() {
    return new ProcessInbox();
  }

  public boolean isClosed() {
    return isClosed;
  }

  /**
   * Runs the event if the process runs, holds it if the process is frozen, and drops it if the
   * process has ended.
   */
  public void deliver(Runnable event) {
    if (isClosed) {
      return;
    }
    if (isFrozen) {
      heldEvents.add(event);
    } else {
      event.run();
    }
  }

  /** Ends the process and drops all held events. */
  public void close() {
    isClosed = true;
    heldEvents.clear();
  }

  /** Freezes the process until {@link #resume}. Simulated time continues. */
  public void freeze() {
    isFrozen = true;
  }

  /** Resumes the process and runs the held events, in an order that depends on the seed. */
  public void resume(long seed) {
    isFrozen = false;
    List<Runnable> events = new ArrayList<>(heldEvents);
    heldEvents.clear();
    Collections.shuffle(events, new Random(seed));
    events.forEach(this::deliver);
  }
}
