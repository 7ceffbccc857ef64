package io.cherryspool.sim.time;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.PriorityQueue;

/** Simulated time: events run in order of time, then of their making. */
public final class VirtualTime implements EventLoop {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nanos;
  private long made;

  private static final class Event implements Comparable<Event> {
    private final long at;
    private final long number;
    private Runnable task;

    Event(long at, long number, Runnable task) {
      this.at = at;
      this.number = number;
      this.task = task;
    }

    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(nanos);
  }

  public double seconds() {
    return nanos / 1e9;
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Event event = new Event(nanos + Math.max(0, delay.toNanos()), made++, task);
    events.add(event);
    return () -> event.task = null;
  }

  /** Runs the next event; if there is none before the end, it is the end, and false. */
  public boolean runNextEvent(Duration end) {
    Event next = events.peek();
    if (next == null || next.at > end.toNanos()) {
      nanos = Math.max(nanos, end.toNanos());
      return false;
    }
    events.poll();
    nanos = next.at;
    if (next.task != null) {
      next.task.run();
    }
    return true;
  }

  /**
   * A process's view of time: what it scheduled dies with it, and waits while it stands still; the
   * clock goes on.
   */
  public EventLoop eventLoopOf(ProcessInbox gate) {
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
                    gate.pass(
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
