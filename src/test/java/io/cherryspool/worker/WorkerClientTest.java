package io.cherryspool.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cherryspool.compatibility.RecordedBytes;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.WorkerProtocol;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Checks from which responses of a worker the client decodes a heartbeat. */
class WorkerClientTest {
  private static final Endpoint WORKER = new Endpoint("127.0.0.1", 9000);

  private static WorkerClient clientReceiving(Reply reply) {
    return new WorkerClient(
        (to, request, deadline) -> CompletableFuture.completedFuture(reply), Duration.ofSeconds(1));
  }

  private static byte[] heartbeat() throws IOException {
    return RecordedBytes.read("worker-report.json");
  }

  private static void assertReturnsTheHeartbeat(int status) throws Exception {
    assertEquals(
        WorkerProtocol.parseHeartbeat(Json.parseObject(heartbeat())),
        clientReceiving(Reply.json(status, heartbeat()))
            .sendCommands(WORKER, 1, 1, List.of())
            .join());
  }

  private static void assertFails(Reply reply) {
    CompletableFuture<?> call = clientReceiving(reply).requestHeartbeat(WORKER);
    Throwable failure = assertThrows(CompletionException.class, call::join).getCause();
    assertInstanceOf(IOException.class, failure);
  }

  @Test
  void returnsTheHeartbeatIfCommandsWereExecuted() throws Exception {
    assertReturnsTheHeartbeat(200);
  }

  @Test
  void returnsTheHeartbeatIfCommandsWereRefused() throws Exception {
    assertReturnsTheHeartbeat(409);
  }

  @Test
  void failsOnAnyOtherStatus() throws Exception {
    assertFails(Reply.json(500, heartbeat()));
  }

  @Test
  void failsOnAMalformedHeartbeat() {
    assertFails(Reply.json(200, new byte[] {'['}));
  }
}
