package io.cherryspool.cli;

import io.cherryspool.recovery.SnapshotFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks whether a recovery could read a snapshot. */
@Command(
    name = "verify",
    mixinStandardHelpOptions = true,
    description = "Reads a snapshot as a whole and says whether it can be used.")
final class SnapshotVerifyCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The snapshot.")
  private Path file;

  @Override
  public Integer call() {
    if (!Files.isRegularFile(file)) {
      System.err.println("cherryspool: " + file + " is not a file");
      return SnapshotCommand.EXIT_UNUSABLE;
    }
    try {
      SnapshotFile snapshot = SnapshotFile.decode(Files.readAllBytes(file));
      System.out.println(file + " is good: " + SnapshotCommand.describe(snapshot));
      return 0;
    } catch (SnapshotFile.InvalidSnapshotException e) {
      System.err.println("cherryspool: " + file + ": " + e.fault() + ": " + e.getMessage());
    } catch (IOException e) {
      System.err.println("cherryspool: " + file + " can't be read: " + e.getMessage());
    }
    return SnapshotCommand.EXIT_UNUSABLE;
  }
}
