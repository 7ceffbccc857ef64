package io.cherryspool.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** How the client tells the cloud's answers and refusals apart. */
class CloudClientTest {
  private static final Endpoint CLOUD = new Endpoint("127.0.0.1", 8443);

  private static Reply reply(int status, String body) {
    return Reply.json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  private static CloudClient clientAnsweredBy(Reply reply) {
    return new CloudClient(
        (to, request, deadline) -> CompletableFuture.completedFuture(reply),
        CLOUD,
        Duration.ofSeconds(1));
  }

  private static Throwable failureOf(CompletableFuture<?> call) {
    return assertThrows(CompletionException.class, call::join).getCause();
  }

  private static CloudClient.RefusedException refusalBy(Reply reply) {
    CompletableFuture<List<String>> call =
        clientAnsweredBy(reply).requestInstances("r-1", "box", "a", true, 2);
    return assertInstanceOf(CloudClient.RefusedException.class, failureOf(call));
  }

  @Test
  void aRequestReturnsTheNamesOfTheInstances() {
    CloudClient client = clientAnsweredBy(reply(200, "{\"spindles\":[\"host-1\",\"host-2\"]}"));
    assertEquals(
        List.of("host-1", "host-2"), client.requestInstances("r-1", "box", "a", true, 2).join());
  }

  @Test
  void anEmptyBodyIsAnAnswer() {
    clientAnsweredBy(reply(200, "")).deleteInstances(List.of("host-1")).join();
  }

  @Test
  void aTypeThatIsSoldOutIsNoOutage() {
    Reply soldOut = reply(503, "{\"error\":\"no capacity\"}");
    assertTrue(refusalBy(soldOut).isOutOfCapacity());
    assertFalse(CloudClient.isOutage(soldOut));
  }

  @Test
  void anOutageIsNotOutOfCapacity() {
    Reply outage = reply(503, "{\"error\":\"unavailable\"}");
    assertFalse(refusalBy(outage).isOutOfCapacity());
    assertTrue(CloudClient.isOutage(outage));
  }

  @Test
  void aMalformedAnswerIsNoRefusal() {
    CompletableFuture<?> call = clientAnsweredBy(reply(200, "[")).fetchMachineTypes();
    assertInstanceOf(IOException.class, failureOf(call));
  }
}
