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

/** To whom users' requests are passed on, and as what. */
class RequestForwarderTest {
  private final List<Mesh.PeerHeartbeat> heard = new ArrayList<>();
  private final List<Request> sent = new ArrayList<>();
  private final RequestForwarder forwarder =
      new RequestForwarder(
          (to, request, deadline) -> {
            sent.add(request);
            return new CompletableFuture<Reply>();
          },
          () -> heard);

  private void hear(String address, boolean reads, LinkState state) {
    LinkSummary links =
        new LinkSummary(false, address, state, LinkState.UP, false, 0, "", List.of(), List.of());
    heard.add(
        new Mesh.PeerHeartbeat(
            address, 1, reads, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, links));
  }

  @Test
  void nodesThatReadTheStateTakeTurns() {
    assertEquals(Optional.empty(), forwarder.nextTarget(), "nobody is heard");
    hear("10.0.0.1:80", true, LinkState.UP);
    hear("10.0.0.2:80", false, LinkState.UP);
    hear("10.0.0.3:80", true, LinkState.SUSPECT);
    hear("", true, LinkState.UP);
    hear("10.0.0.5:80", true, LinkState.UP);
    assertEquals(Optional.of(new Endpoint("10.0.0.1", 80)), forwarder.nextTarget());
    assertEquals(Optional.of(new Endpoint("10.0.0.5", 80)), forwarder.nextTarget());
    assertEquals(Optional.of(new Endpoint("10.0.0.1", 80)), forwarder.nextTarget());
  }

  @Test
  void whatIsPassedOnIsMarked() {
    Request request = Request.get("/api/jobs/req-000001");
    assertFalse(RequestForwarder.isForwarded(request));
    forwarder.forward(new Endpoint("10.0.0.1", 80), request);
    assertTrue(RequestForwarder.isForwarded(sent.get(0)));
    assertEquals(request.path(), sent.get(0).path());
  }
}
