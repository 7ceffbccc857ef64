package io.cherryspool.http;

import java.util.concurrent.CompletableFuture;

/** Answers requests. The future completes on the event loop. */
@FunctionalInterface
public interface RequestHandler {
  CompletableFuture<Reply> handle(Request request);
}
