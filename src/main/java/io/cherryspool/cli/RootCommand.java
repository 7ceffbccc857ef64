package io.cherryspool.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root of the command line. Each subcommand is a separate class. */
@Command(
    name = "cherryspool",
    mixinStandardHelpOptions = true,
    versionProvider = RootCommand.Version.class,
    subcommands = {
      LinksCommand.class,
      RecoveryCommand.class,
      SnapshotCommand.class,
      CheckConfigCommand.class,
      ClassDataTrainingCommand.class,
      ServeCommand.class
    },
    description = "A small cluster scheduler: three to five controllers, no disk.")
final class RootCommand implements Runnable {
  @Spec private CommandSpec spec;

  /**
   * Runs the subcommand that the arguments name.
   *
   * @return the exit status: 0 for success, 1 for a failure, 2 for a usage error or invalid
   *     settings
   */
  static int execute(String[] args) {
    return new CommandLine(new RootCommand()).execute(args);
  }

  /** Called if no subcommand is given, which is a usage error. */
  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "Say what to do: serve, check-config, links, recovery or snapshot.");
  }

  /** Provides the program's version from the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = RootCommand.class.getPackage().getImplementationVersion();
      return new String[] {"cherryspool " + (version == null ? "development" : version)};
    }
  }
}
