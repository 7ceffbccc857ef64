package io.cherryspool.sim.driver;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command in deploy/service.toml by which the platform starts a controller. */
final class ServiceCommand {
  private static final Path FILE = Path.of("deploy", "service.toml");
  private static final String RUN_PREFIX = "run = \"";

  private final List<String> words;

  private ServiceCommand(List<String> words) {
    this.words = words;
  }

  static ServiceCommand read() throws IOException {
    for (String line : Files.readAllLines(FILE)) {
      if (line.startsWith(RUN_PREFIX)) {
        String command = line.substring(RUN_PREFIX.length(), line.lastIndexOf('"'));
        return new ServiceCommand(List.of(command.split(" ")));
      }
    }
    throw new IOException(FILE + " has no run line");
  }

  /** Returns the command with the settings file and additional options of the Java launcher. */
  List<String> withOptions(List<String> javaOptions, Path settings) {
    List<String> command = new ArrayList<>(words);
    // Placed after the command's own options, since the last of contradicting options takes effect.
    command.addAll(command.indexOf("-jar"), javaOptions);
    command.add(settings.toString());
    return command;
  }
}
