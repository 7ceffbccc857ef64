package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackNodes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A folder with the same layout as the repository, in which the platform starts a controller, but
 * with other operators' settings.
 */
final class ServiceFolder {
  private final Path folder;

  private ServiceFolder(Path folder) {
    this.folder = folder;
  }

  /** Creates the folder, with the given operators' settings instead of the repository's. */
  static ServiceFolder create(Path folder, String operatorSettings) throws IOException {
    Files.createDirectories(folder.resolve("deploy"));
    Path target = folder.resolve("target");
    if (!Files.exists(target)) {
      Files.createSymbolicLink(target, Path.of("target").toAbsolutePath());
    }
    Files.writeString(
        folder.resolve("deploy").resolve("cherryspool.xml"),
        "<cherryspool>" + operatorSettings + "</cherryspool>\n");
    return new ServiceFolder(folder);
  }

  /** Starts a node by the platform's command with additional options of the Java launcher. */
  ControllerProcess start(LoopbackNodes nodes, int index, List<String> javaOptions)
      throws IOException {
    Path settings = nodes.writeSettings(folder, index).toAbsolutePath();
    Path log = folder.resolve(LoopbackNodes.name(index) + ".log");
    return new ControllerProcess(
        ServiceCommand.read().withOptions(javaOptions, settings), folder, log);
  }
}
