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
 * Passes users' requests on to another node while this one does not reach the state service and the
 * other does. The other node answers by its own reading and its own writes, as it answers any user,
 * so that an answer passed back is as good as one of its own; a request that is carried out twice
 * is one that its user repeated.
 */
public final class RequestForwarder {
  /** Users wait 2 s for the state of a job. */
  private static final Duration DEADLINE = Duration.ofMillis(1500);

  /** Marks a request that was passed on, which is not passed on again. */
  private static final String MARK = "?forwarded";

  private final Transport transport;
  private final Supplier<List<Mesh.PeerHeartbeat>> peers;
  private int turn;

  /**
   * @param peers the latest heartbeats of the nodes that are heard
   */
  public RequestForwarder(Transport transport, Supplier<List<Mesh.PeerHeartbeat>> peers) {
    this.transport = transport;
    this.peers = peers;
  }

  static boolean isForwarded(Request request) {
    return request.target().endsWith(MARK);
  }

  /** The next of the nodes that can serve users now. */
  Optional<Endpoint> nextTarget() {
    List<Endpoint> able = new ArrayList<>();
    for (Mesh.PeerHeartbeat heartbeat : peers.get()) {
      boolean reads =
          heartbeat.isStateStoreReachable() && heartbeat.links().stateStore() == LinkState.UP;
      if (reads && !heartbeat.links().address().isEmpty()) {
        able.add(Endpoint.parse(heartbeat.links().address()));
      }
    }
    return able.isEmpty() ? Optional.empty() : Optional.of(able.get(turn++ % able.size()));
  }

  /** The other node's answer; fails if there is none in time. */
  CompletableFuture<Reply> forward(Endpoint to, Request request) {
    Request marked = new Request(request.method(), request.path() + MARK, request.body());
    return transport.send(to, marked, DEADLINE);
  }
}
