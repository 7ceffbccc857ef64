package io.cherryspool.sim.driver;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;
import java.util.stream.LongStream;

/** Runs a simulation with each seed of a range, in parallel, and counts the violated rules. */
final class SeedSweep {
  private final long firstSeed;
  private final long lastSeed;
  private final Map<Long, String> violations = new ConcurrentSkipListMap<>();

  SeedSweep(long firstSeed, long lastSeed) {
    this.firstSeed = firstSeed;
    this.lastSeed = lastSeed;
  }

  /**
   * Runs all seeds.
   *
   * @param simulation runs one seed and returns its violation, which begins with the name of the
   *     rule and a colon; null if no rule was violated
   */
  void run(Function<Long, String> simulation) {
    LongStream.rangeClosed(firstSeed, lastSeed)
        .parallel()
        .forEach(
            seed -> {
              String violation = simulation.apply(seed);
              if (violation != null) {
                violations.put(seed, violation);
              }
            });
  }

  /** Prints one line for each violation. */
  void printViolations() {
    violations.forEach((seed, message) -> System.out.println("seed " + seed + ": " + message));
  }

  /** Returns the range of seeds and the number of violations of each rule, in one line. */
  String summary() {
    Map<String, Integer> counts = new TreeMap<>();
    for (String message : violations.values()) {
      counts.merge(message.substring(0, message.indexOf(':')), 1, Integer::sum);
    }
    return "seeds " + firstSeed + " to " + lastSeed + ": " + counts;
  }
}
