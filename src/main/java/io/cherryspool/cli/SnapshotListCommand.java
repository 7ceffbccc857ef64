package io.cherryspool.cli;

import io.cherryspool.recovery.DirectorySnapshotStore;
import io.cherryspool.recovery.SnapshotFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Lists the snapshots in a directory. Unusable snapshots are listed with the reason. */
@Command(
    name = "list",
    mixinStandardHelpOptions = true,
    description = "Lists a node's snapshots, the newest first, with what each is good for.")
final class SnapshotListCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIRECTORY", description = "The node's folder.")
  private Path directory;

  @Override
  public Integer call() {
    if (!Files.isDirectory(directory)) {
      System.err.println("cherryspool: " + directory + " is not a directory");
      return SnapshotCommand.EXIT_UNUSABLE;
    }
    try {
      List<String> names = new DirectorySnapshotStore(directory).names();
      if (names.isEmpty()) {
        System.err.println("cherryspool: " + directory + " holds no snapshots");
        return SnapshotCommand.EXIT_UNUSABLE;
      }
      for (String name : names) {
        System.out.println(name + "  " + describe(directory.resolve(name)));
      }
      return 0;
    } catch (IOException e) {
      System.err.println("cherryspool: " + directory + ": " + e.getMessage());
      return SnapshotCommand.EXIT_UNUSABLE;
    }
  }

  private static String describe(Path file) throws IOException {
    try {
      return SnapshotCommand.describe(SnapshotFile.decode(Files.readAllBytes(file)));
    } catch (SnapshotFile.InvalidSnapshotException e) {
      return e.fault() + ": " + e.getMessage();
    }
  }
}
