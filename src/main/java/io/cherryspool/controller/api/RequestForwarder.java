package io.cherryspool.controller.api;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.http.Transport;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Forwards users' requests to another node that reaches the state store, while this node does not.
 * The other node reads and writes the records itself, as for requests that users send to it, so its
 * answer can be returned unchanged. Requests are idempotent, so it does no harm if both nodes carry
 * out the same request.
 */
public final class RequestForwarder {
  /** The timeout of a forwarded request; users wait 2 s for the state of a job. */
  private static final Duration TIMEOUT = Duration.ofMillis(1500);

  /** The query that marks a forwarded request, so that it is not forwarded again. */
  private static final String FORWARDED_QUERY = "?forwarded";

  private final Transport transport;
  private final Supplier<List<Mesh.PeerHeartbeat>> peers;
  private int nextIndex;

  /**
   * Creates the forwarder.
   *
   * @param peers returns the latest heartbeats of the other nodes that count as reachable, because
   *     they have sent one recently
   */
  public RequestForwarder(Transport transport, Supplier<List<Mesh.PeerHeartbeat>> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  /** Whether another node has forwarded the request to this node. */
  static boolean isForwarded(Request request) {
    return request.target().endsWith(FORWARDED_QUERY);
  }

  /**
   * Returns the next of the other nodes that can serve users now, in turn; empty if there is none.
   */
  Optional<Endpoint> nextTarget() {
    List<Endpoint> targets = new ArrayList<>();
    for (Mesh.PeerHeartbeat heartbeat : peers.get()) {
      boolean canServe =
          heartbeat.isStateStoreReachable() && heartbeat.links().stateStore() == LinkState.UP;
      if (canServe && !heartbeat.links().address().isEmpty()) {
        targets.add(Endpoint.parse(heartbeat.links().address()));
      }
    }
    return targets.isEmpty()
        ? Optional.empty()
        : Optional.of(targets.get(nextIndex++ % targets.size()));
  }

  /**
   * Returns the answer of the other node. Fails as {@link Transport#send} does if there is no
   * answer in time.
   */
  CompletableFuture<Reply> forward(Endpoint target, Request request) {
    Request forwarded =
        new Request(request.method(), request.path() + FORWARDED_QUERY, request.body());
    return transport.send(target, forwarded, TIMEOUT);
  }
}
