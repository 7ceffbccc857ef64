package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests over real sockets which requests the server rejects and which connections it keeps. */
class NettyHttpServerTest extends HttpLoopbackFixture {
  @Test
  void respondsWith503AndKeepsServingIfTheHandlerThrows() throws Exception {
    assertEquals(503, send(Request.get("/broken"), TEST_TIMEOUT).status());
    assertEquals(200, send(Request.get("/echo"), TEST_TIMEOUT).status());
  }

  @Test
  void rejectsABodyThatIsTooLong() throws IOException {
    String head = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n";
    assertTrue(exchange(head + "x".repeat(70_000)).startsWith("HTTP/1.1 413"));
  }

  @Test
  void rejectsAMalformedRequest() throws IOException {
    assertTrue(exchange("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
  }

  @Test
  void sendsTheRetryAfterHeaderOfAReply() throws IOException {
    String response = exchange("GET /later HTTP/1.1\r\nHost: x\r\n\r\n");
    assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 3"), response);
  }

  /**
   * There may be more workers than sockets. Clients that get a response while the server is near
   * its connection limit are asked to close the connection. At the limit, a new connection evicts
   * the one that has been idle longest instead of being refused.
   */
  @Test
  void atTheConnectionLimitServesNewClientsAndAsksThemToClose() throws Exception {
    Socket[] kept = new Socket[MAX_CONNECTIONS];
    try {
      for (int i = 0; i < kept.length; i++) {
        kept[i] = connect();
        String answer = exchange(kept[i]).toLowerCase(Locale.ROOT);
        assertEquals(i == 7, answer.contains("connection: close"), "connection " + i);
      }
      for (int i = 0; i < 20; i++) {
        assertEquals(200, send(Request.get("/echo"), TEST_TIMEOUT).status());
      }
      kept[7].close();
      for (int i = 0; i < 7; i++) {
        // The server did not ask these clients to close, so it still serves them.
        assertTrue(exchange(kept[i]).startsWith("HTTP/1.1 200"), "connection " + i);
      }
    } finally {
      for (Socket socket : kept) {
        if (socket != null) {
          socket.close();
        }
      }
    }
  }

  @Test
  void evictsSilentConnectionsAtTheConnectionLimit() throws Exception {
    Socket[] silent = new Socket[40];
    try {
      for (int i = 0; i < silent.length; i++) {
        silent[i] = connect();
      }
      assertEquals(200, send(Request.get("/echo"), TEST_TIMEOUT).status());
      assertTrue(
          server.connectionCount() <= MAX_CONNECTIONS, server.connectionCount() + " connections");
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }

  /**
   * If an overloaded node answered requests whose senders no longer wait for a response, it would
   * answer all other requests too late as well.
   */
  @Test
  void discardsARequestWhoseSenderHasClosedTheConnection() throws Exception {
    CountDownLatch releaseLoop = new CountDownLatch(1);
    CountDownLatch loopBlocked = new CountDownLatch(1);
    try (Socket waiting = connect()) {
      assertTrue(exchange(waiting).startsWith("HTTP/1.1 200"));
      Socket leaving = connect();
      assertTrue(exchange(leaving).startsWith("HTTP/1.1 200"));
      loop.execute(
          () -> {
            loopBlocked.countDown();
            awaitQuietly(releaseLoop);
          });
      assertTrue(loopBlocked.await(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
      byte[] count = "GET /count HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);
      leaving.getOutputStream().write(count);
      leaving.close();
      waiting.getOutputStream().write(count);
      releaseLoop.countDown();
      assertTrue(waiting.getInputStream().read(new byte[2000]) > 0);
    }
    assertEquals(200, send(Request.get("/echo"), TEST_TIMEOUT).status());
    assertEquals(1, countRequests.get());
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
