package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.Settings;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Option;

/** The options that name a running node: by its address, or by its settings file. */
final class NodeAddress {
  @ArgGroup(exclusive = true, multiplicity = "1")
  private Choice choice;

  /** The two options, of which exactly one is given. */
  static final class Choice {
    @Option(
        names = "--node",
        paramLabel = "HOST:PORT",
        description = "The address at which the node takes users' requests.")
    private String address;

    @Option(
        names = "--config",
        paramLabel = "FILE",
        description = "The settings of the node, which hold that address.")
    private Path config;

    private String resolve() throws ConfigException {
      return address != null ? address : Settings.load(config).clientAddress().toString();
    }
  }

  /**
   * The node's address as HOST:PORT, as it was given; it may be malformed.
   *
   * @throws ConfigException if the settings file that should hold it has a mistake
   */
  String resolve() throws ConfigException {
    return choice.resolve();
  }
}
