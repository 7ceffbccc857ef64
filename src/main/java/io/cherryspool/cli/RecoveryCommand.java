package io.cherryspool.cli;

import java.net.http.HttpRequest;
import java.util.Optional;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators ask a running node about lost state. */
@Command(
    name = "recovery",
    mixinStandardHelpOptions = true,
    description = "Shows and decides what a loss of the state service's data left open.")
final class RecoveryCommand implements Runnable {
  /** The exit status when the node refuses, or can't be reached. */
  static final int REFUSED = NodeClient.REFUSED;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Say what to do: status, held or resolve.");
  }

  /** What becomes of a job; one of the two. */
  static final class Decision {
    @Option(names = "--repeat", description = "Run again what did not report.")
    boolean repeat;

    @Option(
        names = "--abandon",
        description = "End the job; its user is told that it is cancelled.")
    boolean abandon;
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints what the node knows of the records, and what it does about a loss.")
  int status(@CommandLine.Mixin NodeAddress node) throws InterruptedException {
    return print(node, HttpRequest.newBuilder().GET(), "status");
  }

  @Command(
      name = "held",
      mixinStandardHelpOptions = true,
      description = "Lists the jobs that wait for a decision, and those that nobody has described.")
  int held(@CommandLine.Mixin NodeAddress node) throws InterruptedException {
    return print(node, HttpRequest.newBuilder().GET(), "held");
  }

  @Command(
      name = "resolve",
      mixinStandardHelpOptions = true,
      description = "Decides on a job that is held, or that nobody has described.")
  int resolve(
      @CommandLine.Mixin NodeAddress node,
      @Parameters(paramLabel = "JOB", description = "The job's id.") String job,
      @ArgGroup(exclusive = true, multiplicity = "1") Decision decision)
      throws InterruptedException {
    String body =
        String.format(
            "{\"job\":\"%s\",\"decision\":\"%s\"}",
            job.replaceAll("[^A-Za-z0-9-]", "?"), decision.repeat ? "repeat" : "abandon");
    HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofString(body);
    return print(node, HttpRequest.newBuilder().POST(publisher), "resolve");
  }

  private int print(NodeAddress node, HttpRequest.Builder request, String what)
      throws InterruptedException {
    Optional<NodeClient.Answer> given =
        NodeClient.ask(spec.commandLine(), node, request, "/recovery/" + what);
    if (given.isEmpty()) {
      return REFUSED;
    }
    NodeClient.Answer answer = given.get();
    if (answer.status() == 200) {
      System.out.println(JsonText.indented(answer.body()));
      return 0;
    }
    String why =
        answer.status() == 404
            ? answer.address() + " does not look for losses (recovery is off)"
            : JsonText.field(answer.body(), "error");
    System.err.println("cherryspool: " + why);
    return REFUSED;
  }
}
