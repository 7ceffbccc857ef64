package io.cherryspool.cli;

import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line, whatever it says. */
@Command(
    name = "cherryspool",
    mixinStandardHelpOptions = true,
    versionProvider = RootCommand.Version.class,
    subcommands = {LinksCommand.class, RecoveryCommand.class, SnapshotCommand.class},
    description = "A small cluster scheduler: three to five controllers, no disk.")
final class RootCommand implements Runnable {
  @Spec private CommandSpec spec;

  /** Does what the arguments say; returns the exit status. */
  static int execute(String[] args) {
    return new CommandLine(new RootCommand()).execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "Say what to do: serve, check-config, links, recovery or snapshot.");
  }

  /** The files that both commands read. */
  static final class Files {
    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "The platform's settings, JSON.")
    Path config;

    @Option(
        names = "--operators",
        paramLabel = "FILE",
        defaultValue = NodeLauncher.OPERATORS_FILE,
        description = "The operators' settings, XML (default: ${DEFAULT-VALUE}).")
    Path operators;
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description = "Runs a controller node until it is ended.")
  int serve(@CommandLine.Mixin Files files) throws InterruptedException {
    return NodeLauncher.serve(files.config, files.operators);
  }

  @Command(
      name = "check-config",
      mixinStandardHelpOptions = true,
      description = "Checks both settings files and starts nothing.")
  int checkConfig(@CommandLine.Mixin Files files) {
    return NodeLauncher.load(files.config, files.operators)
        .map(
            settings -> {
              System.out.println("settings of " + settings.platform().name() + " are fine");
              return 0;
            })
        .orElse(NodeLauncher.BAD_SETTINGS);
  }

  @Command(
      name = "rehearse",
      hidden = true,
      description = "Loads what a starting node needs; the build makes the class-data archive so.")
  void rehearse() throws Exception {
    ClassDataTraining.run();
    System.exit(0);
  }

  /** The version in the jar's manifest. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = RootCommand.class.getPackage().getImplementationVersion();
      return new String[] {"cherryspool " + (version == null ? "development" : version)};
    }
  }
}
