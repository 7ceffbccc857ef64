package io.cherryspool.controller.api;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.wire.UserProtocol;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Replies and status codes that the handlers of this package share. */
final class Replies {
  static final int OK = 200;
  static final int CREATED = 201;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int MISDIRECTED_REQUEST = 421;
  static final int UNPROCESSABLE = 422;
  static final int UNAVAILABLE = 503;

  /** After how many seconds clients should repeat a request that this node can't serve now. */
  private static final int RETRY_AFTER_SECONDS = 1;

  private Replies() {}

  /** Returns the answer to a request for a path that doesn't exist. */
  static Reply unknownPath() {
    return error(NOT_FOUND, "no such thing");
  }

  static Reply error(int status, String message) {
    return Reply.json(status, UserProtocol.encodeError(message));
  }

  /** Returns a refusal that asks the client to repeat the request later. */
  static Reply retryLater(String message) {
    return Reply.withRetryAfter(
        UNAVAILABLE, UserProtocol.encodeError(message), RETRY_AFTER_SECONDS);
  }

  static CompletableFuture<Reply> completed(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  /** Answers the request if it has this method, and refuses it otherwise. */
  static CompletableFuture<Reply> ifMethod(
      String method, Request request, Supplier<CompletableFuture<Reply>> answer) {
    return request.method().equals(method)
        ? answer.get()
        : completed(error(METHOD_NOT_ALLOWED, "method not allowed"));
  }
}
