package io.cherryspool.cli;

import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Validates both settings files without starting a node. */
@Command(
    name = "check-config",
    mixinStandardHelpOptions = true,
    description = "Checks both settings files and starts nothing.")
final class CheckConfigCommand implements Callable<Integer> {
  @Mixin private SettingsFiles files;

  @Override
  public Integer call() {
    Optional<LoadedSettings> settings = files.load();
    if (settings.isEmpty()) {
      return NodeLauncher.EXIT_INVALID_SETTINGS;
    }
    System.out.println("settings of " + settings.get().platform().name() + " are fine");
    return 0;
  }
}
