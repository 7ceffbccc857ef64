package io.cherryspool.cli;

import java.net.http.HttpRequest;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.ParentCommand;

/** Lists the jobs that require an operator's decision. */
@Command(
    name = "held",
    mixinStandardHelpOptions = true,
    description = "Lists the jobs that wait for a decision, and those that nobody has described.")
final class RecoveryHeldCommand implements Callable<Integer> {
  @ParentCommand private RecoveryCommand recovery;
  @Mixin private NodeAddress node;

  @Override
  public Integer call() throws InterruptedException {
    return recovery.send(node, HttpRequest.newBuilder().GET(), "held");
  }
}
