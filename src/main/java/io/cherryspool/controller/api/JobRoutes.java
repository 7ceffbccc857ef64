package io.cherryspool.controller.api;

import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.wire.UserProtocol;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Routes users' requests to this node's {@link UserApi}, or to another node if this one can't reach
 * the state store.
 */
public final class JobRoutes {
  /** The path of all jobs, and the prefix of the paths of single jobs. */
  static final String PATH = "/api/jobs";

  private static final String CANCEL_SUFFIX = "/withdraw";

  private final UserApi userApi;
  private final StateStoreHealth stateStore;
  private final Optional<RequestForwarder> forwarder;
  private final Meters meters;

  /**
   * Creates the routes.
   *
   * @param forwarder forwards requests to other nodes; empty if requests are not forwarded
   */
  public JobRoutes(
      UserApi userApi,
      StateStoreHealth stateStore,
      Optional<RequestForwarder> forwarder,
      Meters meters) {
    this.userApi = userApi;
    this.stateStore = stateStore;
    this.forwarder = forwarder;
    this.meters = meters;
  }

  static boolean matches(String path) {
    return path.equals(PATH) || path.startsWith(PATH + "/");
  }

  /** Answers a request whose path {@link #matches}. */
  CompletableFuture<Reply> handle(Request request) {
    String rest = request.path().substring(PATH.length());
    if (rest.isEmpty()) {
      return serve("POST", request, () -> userApi.submit(request.body()));
    }
    boolean isCancel = rest.endsWith(CANCEL_SUFFIX);
    String id = rest.substring(1, rest.length() - (isCancel ? CANCEL_SUFFIX.length() : 0));
    if (!UserProtocol.isJobId(id)) {
      return Replies.completed(Replies.unknownPath());
    }
    return isCancel
        ? serve("POST", request, () -> userApi.cancel(id))
        : serve("GET", request, () -> userApi.poll(id));
  }

  private CompletableFuture<Reply> serve(
      String method, Request request, Supplier<CompletableFuture<Reply>> localAnswer) {
    return Replies.ifMethod(
        method,
        request,
        () -> answerOrForward(request, localAnswer).thenApply(this::handleRefusal));
  }

  private CompletableFuture<Reply> answerOrForward(
      Request request, Supplier<CompletableFuture<Reply>> localAnswer) {
    if (forwarder.isEmpty() || RequestForwarder.isForwarded(request)) {
      return localAnswer.get();
    }
    // A request over a link that is down would keep the user waiting. A suspect link is tried
    // first.
    if (stateStore.linkState() == LinkState.DOWN) {
      return forward(forwarder.get(), request, localAnswer);
    }
    return localAnswer
        .get()
        .thenCompose(
            reply ->
                reply.status() == Replies.UNAVAILABLE && stateStore.mayBeUnreachable()
                    ? forward(forwarder.get(), request, () -> Replies.completed(reply))
                    : Replies.completed(reply));
  }

  /** Returns the answer of another node, or the fallback if no other node serves the request. */
  private CompletableFuture<Reply> forward(
      RequestForwarder forwarder, Request request, Supplier<CompletableFuture<Reply>> fallback) {
    Optional<Endpoint> target = forwarder.nextTarget();
    if (target.isEmpty()) {
      return fallback.get();
    }
    meters.forwardedRequests.increment();
    return forwarder
        .forward(target.get(), request)
        .handle(
            (reply, failure) ->
                failure == null && reply.status() != Replies.UNAVAILABLE
                    ? Replies.completed(Reply.json(reply.status(), reply.body()))
                    : fallback.get())
        .thenCompose(answer -> answer);
  }

  /**
   * Counts a refusal. If other nodes can serve the user, closes the connection as well, so that the
   * load balancer picks another node.
   */
  private Reply handleRefusal(Reply reply) {
    if (reply.status() != Replies.UNAVAILABLE) {
      return reply;
    }
    meters.refusedRequests.increment();
    return stateStore.isBehindPeers() ? reply.withConnectionClose() : reply;
  }
}
