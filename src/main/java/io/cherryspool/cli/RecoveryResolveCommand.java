package io.cherryspool.cli;

import java.net.http.HttpRequest;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** Sends an operator's decision on a held or unknown job to a node. */
@Command(
    name = "resolve",
    mixinStandardHelpOptions = true,
    description = "Decides on a job that is held, or that nobody has described.")
final class RecoveryResolveCommand implements Callable<Integer> {
  @ParentCommand private RecoveryCommand recovery;
  @Mixin private NodeAddress node;

  @Parameters(paramLabel = "JOB", description = "The job's id.")
  private String job;

  @ArgGroup(exclusive = true, multiplicity = "1")
  private Decision decision;

  /** The decision on the job; exactly one of the options must be given. */
  static final class Decision {
    @Option(names = "--repeat", description = "Run again what did not report.")
    boolean shouldRepeat;

    @Option(
        names = "--abandon",
        description = "End the job; its user is told that it is cancelled.")
    boolean shouldAbandon;

    /** Returns the name of the decision in the request body. */
    String protocolName() {
      return shouldRepeat ? "repeat" : "abandon";
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    String body =
        String.format(
            "{\"job\":\"%s\",\"decision\":\"%s\"}",
            job.replaceAll("[^A-Za-z0-9-]", "?"), decision.protocolName());
    HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofString(body);
    return recovery.send(node, HttpRequest.newBuilder().POST(publisher), "resolve");
  }
}
