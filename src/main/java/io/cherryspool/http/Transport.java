package io.cherryspool.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to other hosts. */
@FunctionalInterface
public interface Transport {
  /**
   * Sends a request. Must be called on the event loop.
   *
   * @param deadline the time limit for the reply, counted from this call
   * @return the reply with any status, completed on the event loop. Completes exceptionally if no
   *     reply arrives within the deadline; the request may then have been executed, or may still be
   *     executed later.
   */
  CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline);
}
