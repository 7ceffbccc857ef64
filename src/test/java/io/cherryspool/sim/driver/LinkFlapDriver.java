package io.cherryspool.sim.driver;

import io.cherryspool.sim.partition.LinkFlapRun;
import java.time.Duration;

/**
 * Measures the disruption by flapping links in simulated time; prints the table of
 * docs/partitions.md.
 */
public final class LinkFlapDriver {
  private static final double[] FLAP_DURATIONS_S = {0.5, 1, 2, 3, 5, 10};
  private static final int SEED_COUNT = 4;

  private LinkFlapDriver() {}

  public static void main(String[] args) {
    System.out.println("| link | flap, s | leader | started again | 503s | rented | deleted |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    print(LinkFlapRun.Link.STATE_REFUSED, 0);
    for (LinkFlapRun.Link link : LinkFlapRun.Link.values()) {
      for (double seconds : FLAP_DURATIONS_S) {
        print(link, seconds);
      }
    }
  }

  private static void print(LinkFlapRun.Link link, double seconds) {
    int leaderChanges = 0;
    int repeatedTaskStarts = 0;
    int failedRequests = 0;
    int addedMachines = 0;
    int deletedMachines = 0;
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      LinkFlapRun.Disruption disruption =
          LinkFlapRun.run(seed, link, Duration.ofMillis((long) (seconds * 1000)));
      leaderChanges += disruption.leaderChanges();
      repeatedTaskStarts += disruption.repeatedTaskStarts();
      failedRequests += disruption.failedRequests();
      addedMachines += disruption.addedMachines();
      deletedMachines += disruption.deletedMachines();
    }
    String name = seconds == 0 ? "none" : link.name().toLowerCase(java.util.Locale.ROOT);
    System.out.printf(
        "| %s | %.1f | %d | %d | %d | %d | %d |%n",
        name,
        seconds,
        leaderChanges,
        repeatedTaskStarts,
        failedRequests,
        addedMachines,
        deletedMachines);
  }
}
