package io.cherryspool.cli;

import java.net.http.HttpRequest;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that deal with a loss of state, through a running node. */
@Command(
    name = "recovery",
    mixinStandardHelpOptions = true,
    subcommands = {
      RecoveryHeldCommand.class,
      RecoveryResolveCommand.class,
      RecoveryStatusCommand.class
    },
    description = "Shows and decides what a loss of the state service's data left open.")
final class RecoveryCommand implements Runnable {
  @Spec private CommandSpec spec;

  /** Called if no subcommand is given, which is a usage error. */
  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Say what to do: status, held or resolve.");
  }

  /**
   * Sends a request to the node and prints its response. If the request fails, prints the reason to
   * standard error.
   *
   * @param resource the last part of the path, below {@code /recovery/}
   * @return the exit status
   */
  int send(NodeAddress node, HttpRequest.Builder request, String resource)
      throws InterruptedException {
    Optional<NodeClient.NodeResponse> received =
        NodeClient.send(spec.commandLine(), node, request, "/recovery/" + resource);
    if (received.isEmpty()) {
      return NodeClient.EXIT_REQUEST_FAILED;
    }
    NodeClient.NodeResponse response = received.get();
    if (response.status() == NodeClient.OK) {
      System.out.println(JsonText.indented(response.body()));
      return 0;
    }
    String reason =
        response.status() == NodeClient.NOT_FOUND
            ? response.address() + " does not look for losses (recovery is off)"
            : JsonText.field(response.body(), "error");
    System.err.println("cherryspool: " + reason);
    return NodeClient.EXIT_REQUEST_FAILED;
  }
}
