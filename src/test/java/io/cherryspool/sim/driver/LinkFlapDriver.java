package io.cherryspool.sim.driver;

import io.cherryspool.sim.partition.LinkFlapRun;
import java.time.Duration;

/**
 * Measures the costs of flapping links in simulated time; prints the table of docs/partitions.md.
 */
public final class LinkFlapDriver {
  private static final double[] SECONDS = {0.5, 1, 2, 3, 5, 10};
  private static final int SEEDS = 4;

  private LinkFlapDriver() {}

  public static void main(String[] args) {
    System.out.println("| link | flap, s | leader | started again | 503s | rented | deleted |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    print(LinkFlapRun.Link.STATE_REFUSED, 0);
    for (LinkFlapRun.Link link : LinkFlapRun.Link.values()) {
      for (double seconds : SECONDS) {
        print(link, seconds);
      }
    }
  }

  private static void print(LinkFlapRun.Link link, double seconds) {
    int changes = 0;
    int repeated = 0;
    int unserved = 0;
    int added = 0;
    int deleted = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      LinkFlapRun.Cost cost =
          LinkFlapRun.run(seed, link, Duration.ofMillis((long) (seconds * 1000)));
      changes += cost.leaderChanges();
      repeated += cost.repeatedTaskStarts();
      unserved += cost.unservedRequests();
      added += cost.addedMachines();
      deleted += cost.deletedMachines();
    }
    String name = seconds == 0 ? "none" : link.name().toLowerCase(java.util.Locale.ROOT);
    System.out.printf(
        "| %s | %.1f | %d | %d | %d | %d | %d |%n",
        name, seconds, changes, repeated, unserved, added, deleted);
  }
}
