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

/** The server over real sockets: what it refuses, and which connections it keeps. */
class NettyHttpServerTest extends HttpLoopbackFixture {
  @Test
  void aHandlerThatThrowsIsAnsweredAndTheServerGoesOn() throws Exception {
    assertEquals(503, send(Request.get("/broken"), GENEROUS).status());
    assertEquals(200, send(Request.get("/echo"), GENEROUS).status());
  }

  @Test
  void aBodyThatIsTooLongIsRefused() throws IOException {
    String head = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n";
    assertTrue(exchange(head + "x".repeat(70_000)).startsWith("HTTP/1.1 413"));
  }

  @Test
  void aMalformedRequestIsRefused() throws IOException {
    assertTrue(exchange("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
  }

  @Test
  void aReplySaysWhenToRetry() throws IOException {
    String response = exchange("GET /later HTTP/1.1\r\nHost: x\r\n\r\n");
    assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 3"), response);
  }

  /**
   * With more workers than sockets, clients that are answered near the bound are asked to close,
   * and a new connection evicts the one that was idle longest instead of being refused.
   */
  @Test
  void aFullServerAnswersNewConnectionsAndAsksClientsToClose() throws Exception {
    Socket[] kept = new Socket[MAX_CONNECTIONS];
    try {
      for (int i = 0; i < kept.length; i++) {
        kept[i] = connect();
        String answer = exchange(kept[i]).toLowerCase(Locale.ROOT);
        assertEquals(i == 7, answer.contains("connection: close"), "connection " + i);
      }
      for (int i = 0; i < 20; i++) {
        assertEquals(200, send(Request.get("/echo"), GENEROUS).status());
      }
      kept[7].close();
      for (int i = 0; i < 7; i++) {
        // These were not asked to close, so they are still served.
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
  void silentConnectionsAreEvicted() throws Exception {
    Socket[] silent = new Socket[40];
    try {
      for (int i = 0; i < silent.length; i++) {
        silent[i] = connect();
      }
      assertEquals(200, send(Request.get("/echo"), GENEROUS).status());
      assertTrue(
          server.connectionCount() <= MAX_CONNECTIONS, server.connectionCount() + " connections");
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }

  /**
   * An overloaded node that answered requests whose senders had given up would answer all others
   * too late as well.
   */
  @Test
  void aRequestWhoseSenderHasClosedIsNotHandled() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch begun = new CountDownLatch(1);
    try (Socket waiting = connect()) {
      assertTrue(exchange(waiting).startsWith("HTTP/1.1 200"));
      Socket leaving = connect();
      assertTrue(exchange(leaving).startsWith("HTTP/1.1 200"));
      loop.execute(
          () -> {
            begun.countDown();
            awaitQuietly(busy);
          });
      assertTrue(begun.await(GENEROUS.toSeconds(), TimeUnit.SECONDS));
      byte[] count = "GET /count HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);
      leaving.getOutputStream().write(count);
      leaving.close();
      waiting.getOutputStream().write(count);
      busy.countDown();
      assertTrue(waiting.getInputStream().read(new byte[2000]) > 0);
    }
    assertEquals(200, send(Request.get("/echo"), GENEROUS).status());
    assertEquals(1, handledCounts.get());
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(GENEROUS.toSeconds(), TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
