package io.cherryspool.sim.loopback;

import io.cherryspool.http.NettyEventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Calls code on an event loop from other threads. */
public final class EventLoopCalls {
  private static final long TIMEOUT_S = 30;

  private EventLoopCalls() {}

  /** Runs the function on the loop and returns its value. */
  public static <T> T call(NettyEventLoop loop, Supplier<T> function) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(function.get()));
    return await(result);
  }

  /** Runs the task on the loop and returns once it has finished. */
  public static void run(NettyEventLoop loop, Runnable task) {
    call(
        loop,
        () -> {
          task.run();
          return true;
        });
  }

  /**
   * Waits for a future that the loop completes.
   *
   * @throws IllegalStateException if the future fails or does not complete within 30 s, or the
   *     thread is interrupted
   */
  public static <T> T await(CompletableFuture<T> result) {
    try {
      return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the call on the event loop failed or timed out", e);
    }
  }
}
