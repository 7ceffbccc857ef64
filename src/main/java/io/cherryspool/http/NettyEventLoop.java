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

/** The node's event loop: one Netty NIO thread, since the machine is a fraction of a core. */
public final class NettyEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final long origin = System.nanoTime();

  /** The Netty side of the loop, for the parts that open channels on it. */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - origin);
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Future<?> future =
        group.schedule(() -> runLogged(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Runs the task on the loop as soon as it is free. */
  public void execute(Runnable task) {
    group.execute(() -> runLogged(task));
  }

  /** Waits until the loop has ended. */
  public void awaitTermination() throws InterruptedException {
    group.terminationFuture().await();
  }

  public void shutdown() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** A defect in one task must not silently end the loop's thread, nor the process. */
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a task on the event loop failed", e);
    }
  }
}
