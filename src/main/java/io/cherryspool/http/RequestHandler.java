package io.cherryspool.http;

import java.util.concurrent.CompletableFuture;

/** Handles HTTP requests. */
@FunctionalInterface
public interface RequestHandler {
  /**
   * Handles one request. Called on the event loop; must not block.
   *
   * @return the reply, completed on the event loop; if it completes exceptionally, the client gets
   *     an internal error
   */
  CompletableFuture<Reply> handle(Request request);
}
