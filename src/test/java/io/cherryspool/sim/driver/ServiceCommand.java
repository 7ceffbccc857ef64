package io.cherryspool.sim.driver;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command by which the platform starts a controller, as deploy/service.toml has it. */
final class ServiceCommand {
  private static final Path FILE = Path.of("deploy", "service.toml");
  private static final String RUN = "run = \"";

  private final List<String> words;

  private ServiceCommand(List<String> words) {
    this.words = words;
  }

  static ServiceCommand read() throws IOException {
    for (String line : Files.readAllLines(FILE)) {
      if (line.startsWith(RUN)) {
        String command = line.substring(RUN.length(), line.lastIndexOf('"'));
        return new ServiceCommand(List.of(command.split(" ")));
      }
    }
    throw new IOException(FILE + " has no run line");
  }

  /** The command with the settings, and with further options of the Java launcher. */
  List<String> with(List<String> javaOptions, Path settings) {
    List<String> command = new ArrayList<>(words);
    // The last one of two that contradict each other counts.
    command.addAll(command.indexOf("-jar"), javaOptions);
    command.add(settings.toString());
    return command;
  }
}
