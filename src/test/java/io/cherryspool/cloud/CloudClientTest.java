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

/** Checks how the client classifies the cloud's responses. */
class CloudClientTest {
  private static final Endpoint CLOUD = new Endpoint("127.0.0.1", 8443);

  private static Reply reply(int status, String body) {
    return Reply.json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  private static CloudClient clientReceiving(Reply reply) {
    return new CloudClient(
        (to, request, deadline) -> CompletableFuture.completedFuture(reply),
        CLOUD,
        Duration.ofSeconds(1));
  }

  private static Throwable failureOf(CompletableFuture<?> call) {
    return assertThrows(CompletionException.class, call::join).getCause();
  }

  private static CloudClient.RefusedException refusalFor(Reply reply) {
    CompletableFuture<List<String>> call =
        clientReceiving(reply).requestInstances("r-1", "box", "a", true, 2);
    return assertInstanceOf(CloudClient.RefusedException.class, failureOf(call));
  }

  @Test
  void returnsTheNamesOfTheRequestedInstances() {
    CloudClient client = clientReceiving(reply(200, "{\"spindles\":[\"host-1\",\"host-2\"]}"));
    assertEquals(
        List.of("host-1", "host-2"), client.requestInstances("r-1", "box", "a", true, 2).join());
  }

  @Test
  void acceptsAResponseWithAnEmptyBody() {
    clientReceiving(reply(200, "")).deleteInstances(List.of("host-1")).join();
  }

  @Test
  void recognizesMissingCapacity() {
    Reply noCapacity = reply(503, "{\"error\":\"no capacity\"}");
    assertTrue(refusalFor(noCapacity).isOutOfCapacity());
    assertFalse(CloudClient.isOutage(noCapacity));
  }

  @Test
  void recognizesAnOutage() {
    Reply outage = reply(503, "{\"error\":\"unavailable\"}");
    assertFalse(refusalFor(outage).isOutOfCapacity());
    assertTrue(CloudClient.isOutage(outage));
  }

  @Test
  void reportsAMalformedResponseAsAnIoException() {
    CompletableFuture<?> call = clientReceiving(reply(200, "[")).fetchMachineTypes();
    assertInstanceOf(IOException.class, failureOf(call));
  }
}
