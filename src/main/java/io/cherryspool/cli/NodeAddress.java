package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.Settings;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Option;

/** The options that select a running node, either by its address or by its settings file. */
final class NodeAddress {
  @ArgGroup(exclusive = true, multiplicity = "1")
  private Choice choice;

  /** The two options, of which exactly one must be given. */
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
   * Returns the node's address as HOST:PORT. An address given as an option is not validated.
   *
   * @throws ConfigException if the settings file that contains the address has an error
   */
  String resolve() throws ConfigException {
    return choice.resolve();
  }
}
