package io.cherryspool.cli;

import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a controller node. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Runs a controller node until it is ended.")
final class ServeCommand implements Callable<Integer> {
  @Mixin private SettingsFiles files;

  @Override
  public Integer call() throws InterruptedException {
    Optional<LoadedSettings> settings = files.load();
    return settings.isPresent()
        ? NodeLauncher.run(settings.get())
        : NodeLauncher.EXIT_INVALID_SETTINGS;
  }
}
