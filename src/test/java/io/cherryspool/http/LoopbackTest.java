package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The HTTP parts over real sockets. */
class LoopbackTest {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final CompletableFuture<Reply> never = new CompletableFuture<>();
  private NettyHttpServer server;
  private Endpoint address;
  private volatile int counted;

  @BeforeEach
  void bind() throws InterruptedException {
    server = new NettyHttpServer(loop, this::handle, 8);
    server.bind(new Endpoint("127.0.0.1", 0));
    address = new Endpoint("127.0.0.1", server.port());
  }

  @AfterEach
  void shutdown() throws InterruptedException {
    loop.shutdown();
    loop.awaitTermination();
  }

  private CompletableFuture<Reply> handle(Request request) {
    return switch (request.path()) {
      case "/never" -> never;
      case "/count" -> {
        counted++;
        yield CompletableFuture.completedFuture(Reply.json(200, new byte[0]));
      }
      case "/broken" -> throw new IllegalStateException("a defect");
      default ->
          CompletableFuture.completedFuture(
              Reply.withRetryAfter(200, request.body(), request.path().equals("/later") ? 3 : 0));
    };
  }

  private Reply send(Request request, Duration deadline) throws Exception {
    NettyHttpClient client = new NettyHttpClient(loop, 8);
    CompletableFuture<Reply> result = new CompletableFuture<>();
    loop.execute(
        () ->
            client
                .send(address, request, deadline)
                .whenComplete(
                    (reply, failure) -> {
                      if (failure == null) {
                        result.complete(reply);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
    return result.get(20, TimeUnit.SECONDS);
  }

  private String raw(String text) throws IOException {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(20_000);
      return ask(socket, text);
    }
  }

  private static String ask(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    byte[] answer = new byte[2000];
    int length = socket.getInputStream().read(answer);
    return length < 0 ? "" : new String(answer, 0, length, StandardCharsets.UTF_8);
  }

  @Test
  void answersComeBackAndADefectIsNotTheEnd() throws Exception {
    byte[] body = "x".repeat(60_000).getBytes(StandardCharsets.UTF_8);
    assertEquals(60_000, send(Request.post("/echo", body), Duration.ofSeconds(20)).body().length);
    assertEquals(503, send(Request.get("/broken"), Duration.ofSeconds(20)).status());
    assertEquals(200, send(Request.get("/echo"), Duration.ofSeconds(20)).status());
  }

  @Test
  void aCallWithoutAnAnswerEndsAtItsDeadline() {
    assertThrows(
        ExecutionException.class, () -> send(Request.get("/never"), Duration.ofMillis(50)));
  }

  @Test
  void whatIsTooLongOrMalformedIsRefused() throws Exception {
    String head = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n";
    assertTrue(raw(head + "x".repeat(70_000)).startsWith("HTTP/1.1 413"));
    assertTrue(raw("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
    assertTrue(
        raw("GET /later HTTP/1.1\r\nHost: x\r\n\r\n").toLowerCase().contains("retry-after: 3"));
  }

  /**
   * More workers than sockets: whoever is answered while it is crowded is asked to close, and a
   * newcomer takes the place of the connection that was unused longest, rather than be turned away.
   */
  @Test
  void aFullNodeAnswersNewcomersAndAsksPeersToClose() throws Exception {
    Socket[] kept = new Socket[8];
    try {
      for (int i = 0; i < kept.length; i++) {
        kept[i] = new Socket(address.host(), address.port());
        kept[i].setSoTimeout(20_000);
        String answer = ask(kept[i]).toLowerCase();
        assertEquals(i == 7, answer.contains("connection: close"), "connection " + i);
      }
      for (int i = 0; i < 20; i++) {
        assertEquals(200, send(Request.get("/echo"), Duration.ofSeconds(20)).status());
      }
      kept[7].close();
      for (int i = 0; i < 7; i++) {
        // They were told nothing, so that they are still served.
        assertTrue(ask(kept[i]).startsWith("HTTP/1.1 200"), "connection " + i);
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
  void silentConnectionsMakeWay() throws Exception {
    Socket[] silent = new Socket[40];
    try {
      for (int i = 0; i < silent.length; i++) {
        silent[i] = new Socket(address.host(), address.port());
      }
      assertEquals(200, send(Request.get("/echo"), Duration.ofSeconds(20)).status());
      assertTrue(server.connectionCount() <= 8, server.connectionCount() + " connections");
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }

  /**
   * A node that was behind answered requests whose senders had given up, so that the others were
   * answered too late as well.
   */
  @Test
  void aRequestWhoseSenderHasClosedMeanwhileIsNotWorkedOn() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch begun = new CountDownLatch(1);
    try (Socket waiting = new Socket(address.host(), address.port())) {
      waiting.setSoTimeout(20_000);
      assertTrue(ask(waiting).startsWith("HTTP/1.1 200"));
      Socket leaving = new Socket(address.host(), address.port());
      assertTrue(ask(leaving).startsWith("HTTP/1.1 200"));
      loop.execute(
          () -> {
            begun.countDown();
            awaitQuietly(busy);
          });
      assertTrue(begun.await(20, TimeUnit.SECONDS));
      byte[] count = "GET /count HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8);
      leaving.getOutputStream().write(count);
      leaving.close();
      waiting.getOutputStream().write(count);
      busy.countDown();
      assertTrue(waiting.getInputStream().read(new byte[2000]) > 0);
    }
    assertEquals(200, send(Request.get("/echo"), Duration.ofSeconds(20)).status());
    assertEquals(1, counted);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String ask(Socket socket) throws IOException {
    return ask(socket, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n");
  }
}
