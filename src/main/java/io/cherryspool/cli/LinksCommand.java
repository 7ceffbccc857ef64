package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows how the controllers hear one another, the services and the workers. */
@Command(
    name = "links",
    mixinStandardHelpOptions = true,
    description = "Shows each controller's links, and what it does about them.",
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = {
      "0:all links are up",
      "1:a link is not up, or the node does not answer",
      "2:wrong use"
    })
final class LinksCommand implements Callable<Integer> {
  private static final int NOT_ALL_UP = 1;
  private static final double MILLIS = 1000;

  @Spec private CommandSpec spec;
  @CommandLine.Mixin private NodeAddress node;

  @Option(names = "--json", description = "Prints what the node answers, for programs.")
  private boolean json;

  @Override
  public Integer call() throws InterruptedException {
    Optional<NodeClient.Answer> answer =
        NodeClient.ask(spec.commandLine(), node, HttpRequest.newBuilder().GET(), "/links");
    if (answer.isEmpty()) {
      return NodeClient.REFUSED;
    }
    if (answer.get().status() != 200) {
      System.err.println("cherryspool: " + answer.get().address() + " does not tell of its links");
      return NodeClient.REFUSED;
    }
    JsonNode root = JsonText.parse(answer.get().body());
    if (json) {
      System.out.println(JsonText.indented(answer.get().body()));
    } else {
      lines(root).forEach(System.out::println);
    }
    return root.path("all_up").asBoolean() ? 0 : NOT_ALL_UP;
  }

  /** What a node answered, for people. */
  static List<String> lines(JsonNode root) {
    List<String> lines = new ArrayList<>();
    lines.add("as " + root.path("node").asText() + " knows it:");
    for (JsonNode item : root.path("nodes")) {
      describe(item, lines);
    }
    return lines;
  }

  private static void describe(JsonNode item, List<String> lines) {
    String name = item.path("node").asText();
    long age = item.path("heard_ms").longValue();
    if (age < 0) {
      lines.add(name + ": was never heard, can't be reached");
      return;
    }
    String leading = item.path("leading").asBoolean() ? ", leads" : "";
    String doubtful = item.path("doubtful").asBoolean() ? ", was too slow to tell" : "";
    lines.add(name + " (" + age(age) + ")" + leading + doubtful);
    lines.add("  " + item.path("verdict").asText());
    lines.add(
        "  state service "
            + item.path("state").asText()
            + ", cloud "
            + item.path("cloud").asText());
    for (JsonNode peer : item.path("peers")) {
      lines.add(
          "  hears "
              + peer.path("node").asText()
              + ": "
              + peer.path("link").asText()
              + " ("
              + age(peer.path("heard_ms").longValue())
              + ")");
    }
    for (JsonNode zone : item.path("zones")) {
      lines.add(
          "  workers of "
              + zone.path("zone").asText()
              + ": "
              + zone.path("link").asText()
              + ", "
              + zone.path("missing").asInt()
              + " of "
              + zone.path("machines").asInt()
              + " missing, "
              + zone.path("redirected").asInt()
              + " sent on");
    }
  }

  private static String age(long millis) {
    return millis < 0 ? "never" : String.format("%.1f s ago", millis / MILLIS);
  }
}
