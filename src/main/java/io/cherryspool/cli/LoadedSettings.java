package io.cherryspool.cli;

import io.cherryspool.config.ConfigException;
import io.cherryspool.config.OperatorSettings;
import io.cherryspool.config.Settings;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Both settings of a node, read and checked.
 *
 * @param platform the settings that the platform hands over
 * @param operators the settings that operators may add
 */
record LoadedSettings(Settings platform, OperatorSettings operators) {
  /** Where the operators' settings are unless an option says otherwise. */
  static final String OPERATORS_FILE = "deploy/cherryspool.xml";

  /**
   * Reads both files. A mistake is printed to standard error, as one line that names the file.
   *
   * @return the settings; empty if they hold a mistake
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
