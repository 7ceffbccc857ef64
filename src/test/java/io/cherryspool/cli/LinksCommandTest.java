package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output of the links command and its exit statuses. */
class LinksCommandTest extends CommandFixture {
  private volatile boolean isAllUp;

  @Override
  Reply respond(Request request) {
    return json(200, links());
  }

  private String links() {
    return "{\"node\":\"n-0\",\"nodes\":["
        + "{\"node\":\"n-0\",\"heard_ms\":0,\"leading\":true,\"doubtful\":false,"
        + "\"verdict\":\"hold-zones b: many machines of a zone are not heard at once\","
        + "\"state\":\"up\",\"cloud\":\"up\","
        + "\"peers\":[{\"node\":\"n-1\",\"link\":\"down\",\"heard_ms\":9300}],"
        + "\"zones\":[{\"zone\":\"b\",\"link\":\"down\",\"machines\":40,\"missing\":38,"
        + "\"redirected\":0}]},"
        + "{\"node\":\"n-1\",\"heard_ms\":9300,\"state\":\"up\",\"cloud\":\"up\"},"
        + "{\"node\":\"n-2\",\"heard_ms\":-1}],\"all_up\":"
        + isAllUp
        + "}";
  }

  @Test
  void describesEachNodeAndExitsWithOneUnlessAllLinksAreUp() {
    assertEquals(1, run("links", "--node", node));
    assertTrue(printedOutput().contains("n-0 (0.0 s ago), leads"), printedOutput());
    assertTrue(printedOutput().contains("  hears n-1: down (9.3 s ago)"), printedOutput());
    assertTrue(
        printedOutput().contains("  workers of b: down, 38 of 40 missing, 0 sent on"),
        printedOutput());
    assertTrue(printedOutput().contains("n-2: was never heard, can't be reached"), printedOutput());
    isAllUp = true;
    assertEquals(0, run("links", "--node", node));
  }

  @Test
  void printsTheResponseAsJson() {
    isAllUp = true;
    assertEquals(0, run("links", "--json", "--node", node));
    assertTrue(JsonText.parse(printedOutput()).path("all_up").asBoolean(), printedOutput());
  }

  @Test
  void exitsWithOneIfTheNodeIsUnreachable() {
    assertEquals(1, run("links", "--node", "127.0.0.1:1"));
    assertTrue(errorOutput().contains("can't be reached"));
  }

  @Test
  void exitsWithTwoOnAUsageError() {
    assertEquals(2, run("links"));
    assertEquals(2, run("links", "--node", node, "--config", "x"));
  }

  @Test
  void exitsWithTwoIfTheSettingsFileIsMissing(@TempDir Path folder) {
    String missing = folder.resolve("none.json").toString();
    assertEquals(2, run("links", "--config", missing));
    String message = errorOutput();
    assertTrue(message.contains(missing + ": there is no such file"), message);
  }
}
