package io.cherryspool.sim.time;

import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.PriorityQueue;

/** Simulated time. Events run in order of their time, and then in that of their scheduling. */
public final class VirtualTime implements EventLoop {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nanos;
  private long scheduledCount;

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

  /** The time since the start, in seconds. */
  public double seconds() {
    return nanos / 1e9;
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Event event = new Event(nanos + Math.max(0, delay.toNanos()), scheduledCount++, task);
    events.add(event);
    return () -> event.task = null;
  }

  /** Runs the next event; if there is none by the end, sets the time to the end, and is false. */
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
   * The event loop of one process: its timers go through its inbox, so that they end with it and
   * wait while it is frozen.
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
