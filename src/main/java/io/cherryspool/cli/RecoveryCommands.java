package io.cherryspool.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
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
final class RecoveryCommands implements Runnable {
  /** The exit status when the node refuses, or can't be reached. */
  static final int REFUSED = 1;

  private static final Duration PATIENCE = Duration.ofSeconds(5);

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Say what to do: status, held or resolve.");
  }

  /** The node that is asked. */
  static final class Node {
    @Option(
        names = "--node",
        required = true,
        paramLabel = "HOST:PORT",
        description = "The address at which the node takes users' requests.")
    String address;
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
  int status(@CommandLine.Mixin Node node) throws InterruptedException {
    return print(node, HttpRequest.newBuilder().GET(), "status");
  }

  @Command(
      name = "held",
      mixinStandardHelpOptions = true,
      description = "Lists the jobs that wait for a decision, and those that nobody has described.")
  int held(@CommandLine.Mixin Node node) throws InterruptedException {
    return print(node, HttpRequest.newBuilder().GET(), "held");
  }

  @Command(
      name = "resolve",
      mixinStandardHelpOptions = true,
      description = "Decides on a job that is held, or that nobody has described.")
  int resolve(
      @CommandLine.Mixin Node node,
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

  private int print(Node node, HttpRequest.Builder request, String what)
      throws InterruptedException {
    URI uri;
    try {
      uri = URI.create("http://" + node.address + "/recovery/" + what);
      request.uri(uri).timeout(PATIENCE);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), "not an address: " + node.address);
    }
    try {
      HttpResponse<String> answer =
          HttpClient.newBuilder()
              .connectTimeout(PATIENCE)
              .build()
              .send(request.build(), HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() == 200) {
        System.out.println(JsonText.indented(answer.body()));
        return 0;
      }
      String why = JsonText.field(answer.body(), "error");
      boolean off = answer.statusCode() == 404;
      System.err.println(
          "cherryspool: "
              + (off ? node.address + " does not look for losses (recovery is off)" : why));
      return REFUSED;
    } catch (IOException e) {
      System.err.println("cherryspool: " + node.address + " can't be reached: " + e);
      return REFUSED;
    }
  }
}
