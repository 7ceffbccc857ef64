package io.cherryspool.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs {@link ClassDataTraining}. This is a build step and not meant for operators. */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Loads what a starting node needs; the build makes the class-data archive so.")
final class ClassDataTrainingCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    ClassDataTraining.run();
    // The node's threads are still running; exiting triggers the node's shutdown hook.
    System.exit(0);
    return 0;
  }
}
