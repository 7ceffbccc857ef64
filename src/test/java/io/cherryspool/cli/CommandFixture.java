package io.cherryspool.cli;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Runs a fake node on a real socket, for commands that send requests to a node. The test determines
 * the responses.
 */
abstract class CommandFixture extends CapturedOutputFixture {
  private static final int MAX_CONNECTIONS = 8;

  private final NettyEventLoop loop = new NettyEventLoop();

  /** The address of the fake node, as HOST:PORT. */
  String node;

  @BeforeEach
  void startNode() throws InterruptedException {
    NettyHttpServer server =
        new NettyHttpServer(
            loop, request -> CompletableFuture.completedFuture(respond(request)), MAX_CONNECTIONS);
    server.bind(new Endpoint("127.0.0.1", 0));
    node = "127.0.0.1:" + server.port();
  }

  @AfterEach
  void stopNode() throws InterruptedException {
    loop.shutdown();
    loop.awaitTermination();
  }

  /** Returns the node's response to a request. Called on the node's event loop. */
  abstract Reply respond(Request request);

  static Reply json(int status, String text) {
    return Reply.json(status, text.getBytes(StandardCharsets.UTF_8));
  }
}
