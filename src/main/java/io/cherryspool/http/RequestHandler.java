package io.cherryspool.http;

import java.util.concurrent.CompletableFuture;

/** Answers requests. */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Answers one request; called on the event loop, and must not block.
   *
   * @return the answer, completed on the event loop; a failure is answered as an internal error
   */
  CompletableFuture<Reply> handle(Request request);
}
