package io.cherryspool.sim.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The events that reach a simulated process: its timers, messages from the network, answers to its
 * requests. Events of a process that has ended are dropped; those of a frozen one are kept until it
 * is resumed.
 */
public final class ProcessInbox {
  private final List<Runnable> heldEvents = new ArrayList<>();
  private boolean frozen;
  private boolean closed;

  /** The inbox of a host that the simulation neither ends nor freezes. */
  public static ProcessInbox alwaysOpen() {
    return new ProcessInbox();
  }

  public boolean isClosed() {
    return closed;
  }

  /** Runs the event now, later or never, as the state of the process demands. */
  public void deliver(Runnable event) {
    if (closed) {
      return;
    }
    if (frozen) {
      heldEvents.add(event);
    } else {
      event.run();
    }
  }

  /** The process ends. */
  public void close() {
    closed = true;
    heldEvents.clear();
  }

  /** The process does nothing until {@link #resume}, while time goes on. */
  public void freeze() {
    frozen = true;
  }

  /** Runs the events that were kept, in an order that the seed decides. */
  public void resume(long seed) {
    frozen = false;
    List<Runnable> events = new ArrayList<>(heldEvents);
    heldEvents.clear();
    Collections.shuffle(events, new Random(seed));
    events.forEach(this::deliver);
  }
}
