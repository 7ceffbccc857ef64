package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The validated settings of a node from both files.
 *
 * @param platform the settings that the platform provides
 * @param operators the settings that operators may add
 */
record LoadedSettings(Settings platform, OperatorSettings operators) {
  /** The operators' settings file that is read if no option names another. */
  static final String DEFAULT_OPERATORS_FILE = "deploy/cherryspool.xml";

  /**
   * Reads and validates both files. Prints an error in them to standard error, as one line that
   * names the file.
   *
   * @return the settings; empty if they contain an error
   */
  static Optional<LoadedSettings> load(Path config, Path operators) {
    try {
      return Optional.of(
          new LoadedSettings(Settings.load(config), OperatorSettings.load(operators)));
    } catch (ConfigException e) {
      System.err.println("cherryspool: " + e.getMessage());
      return Optional.empty();
    }
  }
}
