package io.cherryspool.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the state of the controllers' links to one another, to the services and to workers. */
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
  /** The exit status if the node responds and some link is not up. */
  private static final int EXIT_NOT_ALL_UP = 1;

  private static final double MILLIS_PER_SECOND = 1000;

  @Spec private CommandSpec spec;
  @Mixin private NodeAddress node;

  @Option(names = "--json", description = "Prints what the node answers, for programs.")
  private boolean printsJson;

  @Override
  public Integer call() throws InterruptedException {
    Optional<NodeClient.NodeResponse> received =
        NodeClient.send(spec.commandLine(), node, HttpRequest.newBuilder().GET(), "/links");
    if (received.isEmpty()) {
      return NodeClient.EXIT_REQUEST_FAILED;
    }
    NodeClient.NodeResponse response = received.get();
    if (response.status() != NodeClient.OK) {
      System.err.println("cherryspool: " + response.address() + " does not tell of its links");
      return NodeClient.EXIT_REQUEST_FAILED;
    }
    JsonNode root = JsonText.parse(response.body());
    if (printsJson) {
      System.out.println(JsonText.indented(response.body()));
    } else {
      describe(root).forEach(System.out::println);
    }
    return root.path("all_up").asBoolean() ? 0 : EXIT_NOT_ALL_UP;
  }

  /** Returns a human-readable description of a node's response, line by line. */
  private static List<String> describe(JsonNode root) {
    List<String> lines = new ArrayList<>();
    lines.add("as " + root.path("node").asText() + " knows it:");
    for (JsonNode controller : root.path("nodes")) {
      describeController(controller, lines);
    }
    return lines;
  }

  private static void describeController(JsonNode controller, List<String> lines) {
    String name = controller.path("node").asText();
    long age = controller.path("heard_ms").longValue();
    if (age < 0) {
      lines.add(name + ": was never heard, can't be reached");
      return;
    }
    String leading = controller.path("leading").asBoolean() ? ", leads" : "";
    String doubtful = controller.path("doubtful").asBoolean() ? ", was too slow to tell" : "";
    lines.add(name + " (" + age(age) + ")" + leading + doubtful);
    lines.add("  " + controller.path("verdict").asText());
    lines.add(
        "  state service "
            + controller.path("state").asText()
            + ", cloud "
            + controller.path("cloud").asText());
    for (JsonNode peer : controller.path("peers")) {
      lines.add(describePeer(peer));
    }
    for (JsonNode zone : controller.path("zones")) {
      lines.add(describeZone(zone));
    }
  }

  private static String describePeer(JsonNode peer) {
    return "  hears "
        + peer.path("node").asText()
        + ": "
        + peer.path("link").asText()
        + " ("
        + age(peer.path("heard_ms").longValue())
        + ")";
  }

  private static String describeZone(JsonNode zone) {
    return "  workers of "
        + zone.path("zone").asText()
        + ": "
        + zone.path("link").asText()
        + ", "
        + zone.path("missing").asInt()
        + " of "
        + zone.path("machines").asInt()
        + " missing, "
        + zone.path("redirected").asInt()
        + " sent on";
  }

  private static String age(long millis) {
    return millis < 0 ? "never" : String.format("%.1f s ago", millis / MILLIS_PER_SECOND);
  }
}
