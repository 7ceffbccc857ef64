package io.cherryspool.controller.api;

import io.cherryspool.controller.recovery.RecoveryApi;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Routes the HTTP requests that a node receives from workers, users, operators and the load
 * balancer. Called on the event loop only.
 */
public final class NodeApi implements RequestHandler {
  private static final String READY_PATH = "/ready";
  private static final String METRICS_PATH = "/metrics";
  private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final NodeService node;
  private final JobRoutes jobs;
  private final WorkerApi workers;
  private final LinksApi links;
  private final StateStoreHealth stateStore;
  private final Optional<RecoveryModule> recovery;

  /**
   * Creates the API.
   *
   * @param recovery answers operators' requests about lost records; empty on a node that doesn't
   *     detect lost records
   */
  public NodeApi(
      NodeService node,
      JobRoutes jobs,
      WorkerApi workers,
      LinksApi links,
      StateStoreHealth stateStore,
      Optional<RecoveryModule> recovery) {
    this.node = node;
    this.jobs = jobs;
    this.workers = workers;
    this.links = links;
    this.stateStore = stateStore;
    this.recovery = recovery;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    String path = request.path();
    if (recovery.isPresent() && path.startsWith(RecoveryApi.PATH)) {
      return recovery.get().handle(request);
    }
    if (JobRoutes.matches(path)) {
      return jobs.handle(request);
    }
    return switch (path) {
      case WorkerApi.PATH ->
          Replies.ifMethod(
              "POST", request, () -> Replies.completed(workers.answer(request.body())));
      case READY_PATH -> Replies.ifMethod("GET", request, () -> Replies.completed(ready()));
      case LinksApi.PATH ->
          Replies.ifMethod(
              "GET", request, () -> Replies.completed(links.answer(node.linkObservations())));
      case METRICS_PATH -> Replies.ifMethod("GET", request, () -> Replies.completed(metrics()));
      default -> Replies.completed(Replies.unknownPath());
    };
  }

  private Reply ready() {
    return stateStore.isReady()
        ? Replies.error(Replies.OK, "none")
        : Replies.error(Replies.UNAVAILABLE, "not ready");
  }

  private Reply metrics() {
    byte[] text = node.metricsText().getBytes(StandardCharsets.UTF_8);
    return new Reply(Replies.OK, text, 0, METRICS_CONTENT_TYPE, false);
  }
}
