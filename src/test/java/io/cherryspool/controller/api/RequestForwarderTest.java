package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests to which nodes users' requests are forwarded, and in what form. */
class RequestForwarderTest {
  private final List<Mesh.PeerHeartbeat> heartbeats = new ArrayList<>();
  private final List<Request> sentRequests = new ArrayList<>();
  private final RequestForwarder forwarder =
      new RequestForwarder(
          (target, request, timeout) -> {
            sentRequests.add(request);
            return new CompletableFuture<Reply>();
          },
          () -> heartbeats);

  private void receiveHeartbeat(String address, boolean isStateStoreReachable, LinkState state) {
    LinkSummary links =
        new LinkSummary(false, address, state, LinkState.UP, false, 0, "", List.of(), List.of());
    heartbeats.add(
        new Mesh.PeerHeartbeat(
            address, 1, isStateStoreReachable, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, links));
  }

  @Test
  void requestsAreForwardedInTurnToNodesThatReachTheStateStore() {
    assertEquals(Optional.empty(), forwarder.nextTarget(), "no heartbeat was received");
    receiveHeartbeat("10.0.0.1:80", true, LinkState.UP);
    receiveHeartbeat("10.0.0.2:80", false, LinkState.UP);
    receiveHeartbeat("10.0.0.3:80", true, LinkState.SUSPECT);
    receiveHeartbeat("", true, LinkState.UP);
    receiveHeartbeat("10.0.0.5:80", true, LinkState.UP);
    assertEquals(Optional.of(new Endpoint("10.0.0.1", 80)), forwarder.nextTarget());
    assertEquals(Optional.of(new Endpoint("10.0.0.5", 80)), forwarder.nextTarget());
    assertEquals(Optional.of(new Endpoint("10.0.0.1", 80)), forwarder.nextTarget());
  }

  @Test
  void aForwardedRequestIsMarked() {
    Request request = Request.get("/api/jobs/req-000001");
    assertFalse(RequestForwarder.isForwarded(request));
    forwarder.forward(new Endpoint("10.0.0.1", 80), request);
    assertTrue(RequestForwarder.isForwarded(sentRequests.get(0)));
    assertEquals(request.path(), sentRequests.get(0).path());
  }
}
