package io.cherryspool.http;

import io.cherryspool.lifecycle.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The node's event loop, implemented with Netty. It has a single NIO thread, since the machine has
 * only a fraction of a core.
 */
public final class NettyEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final long startNanos = System.nanoTime();

  /** Returns the Netty event loop group on which channels are opened. */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Future<?> future =
        group.schedule(
            () -> runLoggingFailures(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Runs the task on the loop as soon as the loop is free. May be called from any thread. */
  public void execute(Runnable task) {
    group.execute(() -> runLoggingFailures(task));
  }

  /** Blocks until the loop has terminated. Must not be called on the loop. */
  public void awaitTermination() throws InterruptedException {
    group.terminationFuture().await();
  }

  /**
   * Initiates the shutdown of the loop, which takes at most a second. May be called from any
   * thread.
   */
  public void shutdown() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Runs the task and logs an exception that it throws. A defect in one task must neither silently
   * end the loop's thread nor end the process.
   */
  private static void runLoggingFailures(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("task on the event loop failed", e);
    }
  }
}
