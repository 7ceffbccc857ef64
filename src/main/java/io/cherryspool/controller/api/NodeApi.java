package io.cherryspool.controller.api;

import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.recovery.RecoveryApi;
import io.cherryspool.controller.recovery.RecoveryModule;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.RequestHandler;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.Mesh;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.UserProtocol;
import io.cherryspool.wire.WorkerProtocol;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers whoever comes to a node's address: workers, users, operators and the load balancer. */
public final class NodeApi implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(NodeApi.class);
  private static final String JOBS = "/api/jobs";
  private static final String CANCEL = "/withdraw";
  private static final int UNAVAILABLE = 503;

  private final Parts parts;
  private final String node;
  private final List<String> peers;

  /** What the node does for those who ask. */
  public interface Node {
    /** The answer to a worker's report; empty if this node does not lead. */
    Optional<byte[]> answerHeartbeat(WorkerHeartbeat report);

    /** A worker of this zone was sent on to the node that leads. */
    void workerRedirected(WorkerHeartbeat report);

    /** The latest heartbeats of the nodes that are heard. */
    List<Mesh.PeerHeartbeat> recentPeerHeartbeats();

    /** What this node and the others tell of their links. */
    LinksApi.Observations links();

    /** The metrics, as text. */
    String metricsText();
  }

  /**
   * The parts of the node that answer.
   *
   * @param forwarder passes users' requests on, where that is wanted
   */
  public record Parts(
      Node node,
      ClusterRecords replica,
      UserApi users,
      StateStoreHealth state,
      Optional<RequestForwarder> forwarder,
      Optional<RecoveryModule> recovery,
      Meters meters) {}

  /**
   * @param peers the names of the other nodes
   */
  public NodeApi(Parts parts, String node, List<String> peers) {
    this.parts = parts;
    this.node = node;
    this.peers = peers;
  }

  @Override
  public CompletableFuture<Reply> handle(Request request) {
    String path = request.path();
    if (parts.recovery.isPresent() && path.startsWith(RecoveryApi.PATH)) {
      return parts.recovery.get().handle(request);
    }
    if (path.equals(JOBS) || path.startsWith(JOBS + "/")) {
      return job(request, path.substring(JOBS.length()));
    }
    return switch (path) {
      case "/v1/report" -> only("POST", request, () -> done(report(request.body())));
      case "/ready" -> only("GET", request, () -> done(ready()));
      case LinksApi.PATH -> only("GET", request, () -> done(links()));
      case "/metrics" -> only("GET", request, () -> done(metrics()));
      default -> done(unknown());
    };
  }

  /** A user's request; {@code rest} is what follows the path of all jobs. */
  private CompletableFuture<Reply> job(Request request, String rest) {
    if (rest.isEmpty()) {
      return only("POST", request, () -> serve(request, () -> parts.users.submit(request.body())));
    }
    boolean cancel = rest.endsWith(CANCEL);
    String id = rest.substring(1, rest.length() - (cancel ? CANCEL.length() : 0));
    if (!UserProtocol.isJobId(id)) {
      return done(unknown());
    }
    return cancel
        ? only("POST", request, () -> serve(request, () -> parts.users.cancel(id)))
        : only("GET", request, () -> serve(request, () -> parts.users.poll(id)));
  }

  private static CompletableFuture<Reply> only(
      String method, Request request, Supplier<CompletableFuture<Reply>> answer) {
    return request.method().equals(method)
        ? answer.get()
        : done(Reply.json(405, UserProtocol.encodeError("method not allowed")));
  }

  /** Serves a user's request, by another node where this one can't reach the state service. */
  private CompletableFuture<Reply> serve(Request request, Supplier<CompletableFuture<Reply>> own) {
    return answer(request, own).thenApply(this::elsewhere);
  }

  private CompletableFuture<Reply> answer(Request request, Supplier<CompletableFuture<Reply>> own) {
    if (parts.forwarder.isEmpty() || RequestForwarder.isForwarded(request)) {
      return own.get();
    }
    // A link that is down would keep the user waiting; one that is in doubt is tried first.
    if (parts.state.linkState() == LinkState.DOWN) {
      return passOn(parts.forwarder.get(), request, own);
    }
    return own.get()
        .thenCompose(
            reply ->
                reply.status() == UNAVAILABLE && parts.state.mayBeUnreachable()
                    ? passOn(parts.forwarder.get(), request, () -> done(reply))
                    : done(reply));
  }

  private CompletableFuture<Reply> passOn(
      RequestForwarder forwarder, Request request, Supplier<CompletableFuture<Reply>> otherwise) {
    Optional<Endpoint> to = forwarder.nextTarget();
    if (to.isEmpty()) {
      return otherwise.get();
    }
    parts.meters.forwardedRequests.increment();
    return forwarder
        .forward(to.get(), request)
        .handle(
            (reply, failure) ->
                failure == null && reply.status() != UNAVAILABLE
                    ? done(Reply.json(reply.status(), reply.body()))
                    : otherwise.get())
        .thenCompose(answer -> answer);
  }

  /** A user whom this node can't serve, but another can, is sent back to the load balancer. */
  private Reply elsewhere(Reply reply) {
    if (reply.status() != UNAVAILABLE) {
      return reply;
    }
    parts.meters.refusedRequests.increment();
    return parts.state.isBehindPeers() ? reply.closingConnection() : reply;
  }

  private Reply ready() {
    boolean ready = parts.state.isReady(peers.isEmpty());
    return Reply.json(
        ready ? 200 : UNAVAILABLE, UserProtocol.encodeError(ready ? "none" : "not ready"));
  }

  private Reply links() {
    return new LinksApi(node, peers).answer(parts.node.links());
  }

  private Reply metrics() {
    byte[] text = parts.node.metricsText().getBytes(StandardCharsets.UTF_8);
    return new Reply(200, text, 0, "text/plain; version=0.0.4; charset=utf-8", false);
  }

  private Reply report(byte[] body) {
    WorkerHeartbeat report;
    try {
      report = WorkerProtocol.parseHeartbeat(Json.parseObject(body));
    } catch (MalformedMessageException e) {
      LOG.warn("a malformed report: {}", e.getMessage());
      return Reply.json(400, UserProtocol.encodeError(e.getMessage()));
    }
    Optional<byte[]> answer = parts.node.answerHeartbeat(report);
    if (answer.isPresent()) {
      return Reply.json(200, answer.get());
    }
    parts.recovery.ifPresent(part -> part.observeUnansweredHeartbeat(report));
    String leader = otherLeader();
    if (leader != null) {
      parts.node.workerRedirected(report);
    }
    parts.meters.redirectedHeartbeats.increment();
    return Reply.json(421, WorkerProtocol.encodeRedirect(leader));
  }

  /**
   * The other node that leads, or null: by the records where they can be read here, else by what
   * the nodes say. Where a worker is sent is a hint; a node that does not lead sends it on.
   */
  private String otherLeader() {
    if (parts.state.isReachable()) {
      Records.Leader leader = parts.replica.isLoaded() ? parts.replica.leader() : null;
      return leader == null || leader.node().equals(node) ? null : leader.node();
    }
    return parts.node.recentPeerHeartbeats().stream()
        .filter(heartbeat -> heartbeat.links().isLeading())
        .max(Comparator.comparingLong(Mesh.PeerHeartbeat::term))
        .map(Mesh.PeerHeartbeat::node)
        .orElse(null);
  }

  private static Reply unknown() {
    return Reply.json(404, UserProtocol.encodeError("no such thing"));
  }

  private static CompletableFuture<Reply> done(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
