package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.NettyLoop;
import io.cherryspool.http.NettyServer;
import io.cherryspool.http.Reply;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the command prints of a node's answer, and how it ends. */
class LinksCommandTest {
  private static final String PICTURE =
      "{\"node\":\"n-0\",\"nodes\":["
          + "{\"node\":\"n-0\",\"heard_ms\":0,\"leading\":true,\"doubtful\":false,"
          + "\"verdict\":\"hold-zones b: many machines of a zone are not heard at once\","
          + "\"state\":\"up\",\"cloud\":\"up\","
          + "\"peers\":[{\"node\":\"n-1\",\"link\":\"down\",\"heard_ms\":9300}],"
          + "\"zones\":[{\"zone\":\"b\",\"link\":\"down\",\"machines\":40,\"missing\":38,"
          + "\"redirected\":0}]},"
          + "{\"node\":\"n-1\",\"heard_ms\":9300,\"state\":\"up\",\"cloud\":\"up\"},"
          + "{\"node\":\"n-2\",\"heard_ms\":-1}],\"all_up\":%s}";

  private final NettyLoop loop = new NettyLoop();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final PrintStream realOut = System.out;
  private final PrintStream realErr = System.err;
  private String node;
  private volatile boolean allUp;

  @BeforeEach
  void begin() throws InterruptedException {
    NettyServer server = new NettyServer(loop, request -> answer(), 8);
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
    loop.join();
  }

  private CompletableFuture<Reply> answer() {
    byte[] body = String.format(PICTURE, allUp).getBytes(StandardCharsets.UTF_8);
    return CompletableFuture.completedFuture(Reply.json(200, body));
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void tellsOfEachNodeAndEndsWithOneUnlessAllLinksAreUp() {
    assertEquals(1, Commands.execute(new String[] {"links", "--node", node}));
    assertTrue(printed().contains("n-0 (0.0 s ago), leads"), printed());
    assertTrue(printed().contains("  hears n-1: down (9.3 s ago)"), printed());
    assertTrue(printed().contains("  workers of b: down, 38 of 40 missing, 0 sent on"), printed());
    assertTrue(printed().contains("n-2: was never heard, can't be reached"), printed());
    allUp = true;
    assertEquals(0, Commands.execute(new String[] {"links", "--node", node}));
  }

  @Test
  void printsJsonForPrograms() {
    allUp = true;
    assertEquals(0, Commands.execute(new String[] {"links", "--json", "--node", node}));
    assertTrue(JsonText.parse(printed()).path("all_up").asBoolean(), printed());
  }

  @Test
  void aNodeThatIsNotThereAndWrongUseAreToldApart(@TempDir Path folder) {
    assertEquals(1, Commands.execute(new String[] {"links", "--node", "127.0.0.1:1"}));
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("can't be reached"));
    assertEquals(2, Commands.execute(new String[] {"links"}));
    assertEquals(2, Commands.execute(new String[] {"links", "--node", node, "--config", "x"}));
    err.reset();
    String none = folder.resolve("none.json").toString();
    assertEquals(2, Commands.execute(new String[] {"links", "--config", none}));
    String message = err.toString(StandardCharsets.UTF_8);
    assertTrue(message.contains(none + ": there is no such file"), message);
  }
}
