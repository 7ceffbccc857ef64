package io.cherryspool.cli;

import io.cherryspool.recovery.DirectorySnapshotStore;
import io.cherryspool.recovery.SnapshotFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators do with snapshots as files; no node has to run. */
@Command(
    name = "snapshot",
    mixinStandardHelpOptions = true,
    description = "Lists and checks the snapshots that nodes keep.")
final class SnapshotCommand implements Runnable {
  /** The exit status when a snapshot can't be used, or there is none. */
  static final int REFUSED = 1;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Say what to do: list or verify.");
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists a node's snapshots, the newest first, with what each is good for.")
  int list(
      @Parameters(paramLabel = "DIRECTORY", description = "The node's folder.") Path directory) {
    if (!Files.isDirectory(directory)) {
      System.err.println("cherryspool: " + directory + " is not a directory");
      return REFUSED;
    }
    try {
      List<String> names = new DirectorySnapshotStore(directory).names();
      if (names.isEmpty()) {
        System.err.println("cherryspool: " + directory + " holds no snapshots");
        return REFUSED;
      }
      for (String name : names) {
        System.out.println(name + "  " + described(directory.resolve(name)));
      }
      return 0;
    } catch (IOException e) {
      System.err.println("cherryspool: " + directory + ": " + e.getMessage());
      return REFUSED;
    }
  }

  private static String described(Path file) throws IOException {
    try {
      return description(SnapshotFile.decode(Files.readAllBytes(file)));
    } catch (SnapshotFile.InvalidSnapshotException e) {
      return e.fault() + ": " + e.getMessage();
    }
  }

  private static String description(SnapshotFile snapshot) {
    return String.format(
        "taken %s, cluster %s, incarnation %d, revision %d, term %d, %d jobs",
        snapshot.takenAt(),
        snapshot.records().cluster(),
        snapshot.records().position().incarnationNumber(),
        snapshot.records().position().revision(),
        snapshot.records().term(),
        snapshot.records().jobs().size());
  }

  @Command(
      name = "verify",
      mixinStandardHelpOptions = true,
      description = "Reads a snapshot as a whole and says whether it can be used.")
  int verify(@Parameters(paramLabel = "FILE", description = "The snapshot.") Path file) {
    if (!Files.isRegularFile(file)) {
      System.err.println("cherryspool: " + file + " is not a file");
      return REFUSED;
    }
    try {
      System.out.println(
          file + " is good: " + description(SnapshotFile.decode(Files.readAllBytes(file))));
      return 0;
    } catch (SnapshotFile.InvalidSnapshotException e) {
      System.err.println("cherryspool: " + file + ": " + e.fault() + ": " + e.getMessage());
    } catch (IOException e) {
      System.err.println("cherryspool: " + file + " can't be read: " + e.getMessage());
    }
    return REFUSED;
  }
}
