package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

/** Tests the client over real sockets. */
class NettyHttpClientTest extends HttpLoopbackFixture {
  @Test
  void receivesTheReplyWithItsBody() throws Exception {
    byte[] body = "x".repeat(60_000).getBytes(StandardCharsets.UTF_8);
    assertEquals(60_000, send(Request.post("/echo", body), TEST_TIMEOUT).body().length);
  }

  @Test
  void aCallWithoutAReplyFailsAtItsDeadline() {
    assertThrows(
        ExecutionException.class, () -> send(Request.get("/never"), Duration.ofMillis(50)));
  }
}
