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
 * Forwards users' requests to another node while this one does not reach the state store and the
 * other does. The other node answers by its own reads and writes, as it answers any user, so that
 * its answer can be returned as it is. Requests are idempotent, so that one which both nodes carry
 * out does no harm.
 */
public final class RequestForwarder {
  /** The timeout of a forwarded request; users wait 2 s for the state of a job. */
  private static final Duration TIMEOUT = Duration.ofMillis(1500);

  /** The query of a forwarded request, which is not forwarded again. */
  private static final String FORWARDED_QUERY = "?forwarded";

  private final Transport transport;
  private final Supplier<List<Mesh.PeerHeartbeat>> peers;
  private int nextIndex;

  /**
   * Creates the request forwarder.
   *
   * @param peers the latest heartbeats of the other nodes, without those too old to count
   */
  public RequestForwarder(Transport transport, Supplier<List<Mesh.PeerHeartbeat>> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  /** Whether another node has forwarded the request to this one. */
  static boolean isForwarded(Request request) {
    return request.target().endsWith(FORWARDED_QUERY);
  }

  /** The next of the nodes that can serve users now, in turn; empty if there is none. */
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

  /** The other node's answer; fails as {@link Transport#send} does if there is none in time. */
  CompletableFuture<Reply> forward(Endpoint target, Request request) {
    Request forwarded =
        new Request(request.method(), request.path() + FORWARDED_QUERY, request.body());
    return transport.send(target, forwarded, TIMEOUT);
  }
}
