package io.cherryspool.sim.time;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.PriorityQueue;

/**
 * The event loop of a simulation, which advances the time to that of the next event. Events run in
 * the order of their times; events with the same time run in the order in which they were
 * scheduled.
 */
public final class VirtualTime implements EventLoop {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long scheduledCount;

  private static final class Event implements Comparable<Event> {
    private final long atNanos;
    private final long sequenceNumber;
    private Runnable task;

    Event(long atNanos, long sequenceNumber, Runnable task) {
      this.atNanos = atNanos;
      this.sequenceNumber = sequenceNumber;
      this.task = task;
    }

    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(nowNanos);
  }

  /** Returns the time since the start in seconds. */
  public double seconds() {
    return nowNanos / 1e9;
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Event event = new Event(nowNanos + Math.max(0, delay.toNanos()), scheduledCount++, task);
    events.add(event);
    return () -> event.task = null;
  }

  /**
   * Runs the next event and returns true. If no event is due at or before {@code end}, sets the
   * time to {@code end} and returns false.
   */
  public boolean runNextEvent(Duration end) {
    Event next = events.peek();
    if (next == null || next.atNanos > end.toNanos()) {
      nowNanos = Math.max(nowNanos, end.toNanos());
      return false;
    }
    events.poll();
    nowNanos = next.atNanos;
    if (next.task != null) {
      next.task.run();
    }
    return true;
  }

  /**
   * Returns an event loop for one process. Its timers are delivered through the inbox, so that they
   * are dropped after the process has ended and held while it is frozen.
   */
  public EventLoop eventLoopOf(ProcessInbox inbox) {
    return new EventLoop() {
      @Override
      public Duration now() {
        return VirtualTime.this.now();
      }

      @Override
      public Timer schedule(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        Timer timer =
            VirtualTime.this.schedule(
                delay,
                () ->
                    inbox.deliver(
                        () -> {
                          if (!cancelled[0]) {
                            task.run();
                          }
                        }));
        return () -> {
          cancelled[0] = true;
          timer.cancel();
        };
      }
    };
  }
}
