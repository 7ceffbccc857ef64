package io.cherryspool.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs a server on a real socket that echoes request bodies, and sends requests to it. */
abstract class HttpLoopbackFixture {
  /** The maximum number of connections of the server. */
  static final int MAX_CONNECTIONS = 8;

  /** The time limit of each wait in these tests. Only a failing test reaches it. */
  static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);

  final NettyEventLoop loop = new NettyEventLoop();

  /** The number of requests for {@code /count} that the server has handled. */
  final AtomicInteger countRequests = new AtomicInteger();

  NettyHttpServer server;
  Endpoint address;

  @BeforeEach
  void bind() throws InterruptedException {
    server = new NettyHttpServer(loop, this::handle, MAX_CONNECTIONS);
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
      case "/never" -> new CompletableFuture<>();
      case "/count" -> {
        countRequests.incrementAndGet();
        yield CompletableFuture.completedFuture(Reply.json(200, new byte[0]));
      }
      case "/broken" -> throw new IllegalStateException("handler fails on purpose");
      default ->
          CompletableFuture.completedFuture(
              Reply.withRetryAfter(200, request.body(), request.path().equals("/later") ? 3 : 0));
    };
  }

  /** Sends a request with a new client and waits for the reply. */
  Reply send(Request request, Duration deadline) throws Exception {
    NettyHttpClient client = new NettyHttpClient(loop, MAX_CONNECTIONS);
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
    return result.get(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Opens a connection without sending anything. */
  Socket connect() throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout((int) TEST_TIMEOUT.toMillis());
    return socket;
  }

  /** Sends the text over a new connection; returns the beginning of the response. */
  String exchange(String bytes) throws IOException {
    try (Socket socket = connect()) {
      return exchange(socket, bytes);
    }
  }

  /** Sends a small valid request over the connection; returns the beginning of the response. */
  static String exchange(Socket socket) throws IOException {
    return exchange(socket, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  private static String exchange(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    byte[] response = new byte[2000];
    int length = socket.getInputStream().read(response);
    return length < 0 ? "" : new String(response, 0, length, StandardCharsets.UTF_8);
  }
}
