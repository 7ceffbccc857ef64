package io.cherryspool.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs {@link ClassDataTraining}; a step of the build, not for operators. */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Loads what a starting node needs; the build makes the class-data archive so.")
final class ClassDataTrainingCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    ClassDataTraining.run();
    // The node's threads still run: ending the process is what shuts the node down.
    System.exit(0);
    return 0;
  }
}
