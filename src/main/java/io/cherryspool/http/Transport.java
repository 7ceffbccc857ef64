package io.cherryspool.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to other hosts. The future completes on the event loop, exceptionally when there
 * is no answer before the deadline: the other side may then have carried the request out, or may
 * yet.
 */
@FunctionalInterface
public interface Transport {
  CompletableFuture<Reply> send(Endpoint to, Request request, Duration deadline);
}
