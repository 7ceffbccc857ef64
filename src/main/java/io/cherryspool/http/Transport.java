package io.cherryspool.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends requests to other hosts. */
@FunctionalInterface
public interface Transport {
  /**
   * Sends a request; called on the event loop.
   *
   * @return the answer whatever its status, completed on the event loop; exceptionally if there is
   *     none before the deadline, and then the request may have been carried out, or may yet be
   */
  CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline);
}
