package io.cherryspool.cli;

import io.cherryspool.recovery.SnapshotFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands that work on snapshot files; they need no running node. */
@Command(
    name = "snapshot",
    mixinStandardHelpOptions = true,
    subcommands = {SnapshotListCommand.class, SnapshotVerifyCommand.class},
    description = "Lists and checks the snapshots that nodes keep.")
final class SnapshotCommand implements Runnable {
  /** The exit status if a snapshot is unusable, or there is none. */
  static final int EXIT_UNUSABLE = 1;

  @Spec private CommandSpec spec;

  /** Called if no subcommand is given, which is a usage error. */
  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Say what to do: list or verify.");
  }

  /** Returns a description of a snapshot's contents in one line. */
  static String describe(SnapshotFile snapshot) {
    return String.format(
        "taken %s, cluster %s, incarnation %d, revision %d, term %d, %d jobs",
        snapshot.takenAt(),
        snapshot.records().cluster(),
        snapshot.records().position().incarnationNumber(),
        snapshot.records().position().revision(),
        snapshot.records().term(),
        snapshot.records().jobs().size());
  }
}
