package io.cherryspool.sim.driver;

import io.cherryspool.sim.loopback.ControllerProcess;
import io.cherryspool.sim.loopback.LoopbackNodes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A folder that looks to a controller like the repository, in which the platform starts it, but
 * with other operators' settings.
 */
final class ServiceFolder {
  private final Path folder;

  private ServiceFolder(Path folder) {
    this.folder = folder;
  }

  /** Makes the folder, with these operators' settings in place of those of the repository. */
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

  /** Starts a node by the platform's command, with further options of the Java launcher. */
  ControllerProcess start(LoopbackNodes nodes, int index, List<String> javaOptions)
      throws IOException {
    Path settings = nodes.write(folder, index).toAbsolutePath();
    Path log = folder.resolve(LoopbackNodes.name(index) + ".log");
    return new ControllerProcess(ServiceCommand.read().with(javaOptions, settings), folder, log);
  }
}
