package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case: the scenario with or without its disruption, in a temporary folder. */
final class Case {
  private Case() {}

  /** Plays the case; returns normally if it could run. */
  interface Scenario {
    void play(World world, boolean hasTrouble) throws Exception;
  }

  /**
   * Runs a scenario and ends the program with 1 if a rule was broken, 0 if it held, and 2 if the
   * case couldn't run.
   *
   * @param arguments the repository's root and the folder of the record
   */
  static void run(String[] arguments, World.Numbers numbers, Scenario scenario) {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    Path folder = null;
    try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
      folder = Files.createTempDirectory("cherryspool-review");
      World world = new World(record, Path.of(arguments[0]).toAbsolutePath(), folder, numbers);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> killAll(world)));
      record.line("disruption: %s", hasTrouble ? "yes" : "no");
      try {
        scenario.play(world, hasTrouble);
        List<String> violations = world.violations();
        status = violations.isEmpty() ? 0 : 1;
        violations.forEach(violation -> record.result("%s", violation));
      } catch (Exception e) {
        record.result("the case couldn't run: %s", e);
      } finally {
        world.close();
      }
      record.result("exit status %d", status);
    } catch (Exception e) {
      System.err.println("the case couldn't run: " + e);
    }
    deleteFolder(folder);
    Runtime.getRuntime().halt(status);
  }

  private static void killAll(World world) {
    for (int node = 0; node < world.nodeCount(); node++) {
      if (world.process(node) != null) {
        world.process(node).destroyForcibly();
      }
    }
  }

  private static void deleteFolder(Path folder) {
    if (folder == null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      System.err.println("the temporary folder remains: " + e);
    }
  }
}
