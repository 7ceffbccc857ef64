package io.cherryspool.cli;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyEventLoop;
import io.cherryspool.http.NettyHttpServer;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A node that answers as the test says, and what commands print. */
abstract class CommandFixture {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final PrintStream realOut = System.out;
  private final PrintStream realErr = System.err;
  String node;

  @BeforeEach
  void begin() throws InterruptedException {
    NettyHttpServer server =
        new NettyHttpServer(loop, request -> CompletableFuture.completedFuture(answer(request)), 8);
    server.bind(new Endpoint("127.0.0.1", 0));
    node = "127.0.0.1:" + server.port();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void end() throws InterruptedException {
    System.setOut(realOut);
    System.setErr(realErr);
    loop.shutdown();
    loop.awaitTermination();
  }

  /** What the node answers; called on its loop. */
  abstract Reply answer(Request request);

  static Reply json(int status, String text) {
    return Reply.json(status, text.getBytes(StandardCharsets.UTF_8));
  }

  static int run(String... words) {
    return RootCommand.execute(words);
  }

  /** What was printed to standard output so far. */
  String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  /** What was printed to standard error since it was last asked for. */
  String complaints() {
    String text = err.toString(StandardCharsets.UTF_8);
    err.reset();
    return text;
  }
}
