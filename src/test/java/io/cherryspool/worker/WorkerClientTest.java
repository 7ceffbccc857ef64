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

/** Which answers of a worker hold its heartbeat. */
class WorkerClientTest {
  private static final Endpoint WORKER = new Endpoint("127.0.0.1", 9000);

  private static WorkerClient clientAnsweredBy(Reply reply) {
    return new WorkerClient(
        (to, request, deadline) -> CompletableFuture.completedFuture(reply), Duration.ofSeconds(1));
  }

  private static byte[] heartbeat() throws IOException {
    return RecordedBytes.read("worker-report.json");
  }

  private static void assertHoldsTheHeartbeat(int status) throws Exception {
    assertEquals(
        WorkerProtocol.parseHeartbeat(Json.parseObject(heartbeat())),
        clientAnsweredBy(Reply.json(status, heartbeat()))
            .sendCommands(WORKER, 1, 1, List.of())
            .join());
  }

  private static void assertFails(Reply reply) {
    CompletableFuture<?> call = clientAnsweredBy(reply).requestHeartbeat(WORKER);
    Throwable failure = assertThrows(CompletionException.class, call::join).getCause();
    assertInstanceOf(IOException.class, failure);
  }

  @Test
  void commandsThatWereExecutedAreAnsweredWithAHeartbeat() throws Exception {
    assertHoldsTheHeartbeat(200);
  }

  @Test
  void commandsThatWereRefusedAreAnsweredWithAHeartbeat() throws Exception {
    assertHoldsTheHeartbeat(409);
  }

  @Test
  void anyOtherStatusIsAFailure() throws Exception {
    assertFails(Reply.json(500, heartbeat()));
  }

  @Test
  void aMalformedHeartbeatIsAFailure() {
    assertFails(Reply.json(200, new byte[] {'['}));
  }
}
