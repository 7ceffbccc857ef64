package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.Settings;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Option;

/** Which running node a command asks: by its address, or by its settings file. */
final class NodeAddress {
  @ArgGroup(exclusive = true, multiplicity = "1")
  private Choice choice;

  /** One of the two. */
  static final class Choice {
    @Option(
        names = "--node",
        paramLabel = "HOST:PORT",
        description = "The address at which the node takes users' requests.")
    String address;

    @Option(
        names = "--config",
        paramLabel = "FILE",
        description = "The settings of the node, which hold that address.")
    Path config;
  }

  /** The address, as HOST:PORT. */
  String text() throws ConfigException {
    return choice.address != null
        ? choice.address
        : Settings.load(choice.config).clientAddress().toString();
  }
}
