package io.cherryspool.cli;

import java.nio.file.Path;
import java.util.Optional;
import picocli.CommandLine.Option;

/** The options that select the two settings files. */
final class SettingsFiles {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "The platform's settings, JSON.")
  private Path config;

  @Option(
      names = "--operators",
      paramLabel = "FILE",
      defaultValue = LoadedSettings.DEFAULT_OPERATORS_FILE,
      description = "The operators' settings, XML (default: ${DEFAULT-VALUE}).")
  private Path operators;

  /** Reads and validates both files; see {@link LoadedSettings#load}. */
  Optional<LoadedSettings> load() {
    return LoadedSettings.load(config, operators);
  }
}
