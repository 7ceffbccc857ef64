package io.cherryspool.duty;

import java.time.Duration;

/** Runs a task again and again, each time a fixed delay after the last run, until stopped. */
public final class Repeater implements Duty {
  private final EventLoop loop;
  private final Duration delay;
  private final Runnable task;
  private EventLoop.Timer timer;

  public Repeater(EventLoop loop, Duration delay, Runnable task) {
    this.loop = loop;
    this.delay = delay;
    this.task = task;
  }

  @Override
  public void start() {
    if (timer == null) {
      timer = loop.schedule(Duration.ZERO, this::run);
    }
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private void run() {
    timer = loop.schedule(delay, this::run);
    task.run();
  }
}
