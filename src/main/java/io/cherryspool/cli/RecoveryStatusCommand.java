package io.cherryspool.cli;

import java.net.http.HttpRequest;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.ParentCommand;

/** Prints the recovery status of a node. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Prints what the node knows of the records, and what it does about a loss.")
final class RecoveryStatusCommand implements Callable<Integer> {
  @ParentCommand private RecoveryCommand recovery;
  @Mixin private NodeAddress node;

  @Override
  public Integer call() throws InterruptedException {
    return recovery.send(node, HttpRequest.newBuilder().GET(), "status");
  }
}
