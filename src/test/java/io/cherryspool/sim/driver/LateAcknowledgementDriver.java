package io.cherryspool.sim.driver;

import io.cherryspool.sim.faults.LateAcknowledgementRun;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

/**
 * Runs {@link LateAcknowledgementRun} with many seeds and counts the runs in which the faults met,
 * and those that broke each rule. The arguments are the first and the last seed.
 */
public final class LateAcknowledgementDriver {
  private LateAcknowledgementDriver() {}

  public static void main(String[] args) {
    long firstSeed = Long.parseLong(args[0]);
    long lastSeed = Long.parseLong(args[1]);
    Map<Long, String> violations = new ConcurrentSkipListMap<>();
    AtomicInteger lateRenewals = new AtomicInteger();
    LongStream.rangeClosed(firstSeed, lastSeed)
        .parallel()
        .forEach(
            seed -> {
              LateAcknowledgementRun run = new LateAcknowledgementRun(seed);
              try {
                run.run();
              } catch (AssertionError violation) {
                violations.put(seed, violation.getMessage());
              }
              if (run.hasLateRenewal()) {
                lateRenewals.incrementAndGet();
              }
            });
    Map<String, Integer> violationCounts = new TreeMap<>();
    violations.forEach(
        (seed, message) -> {
          System.out.println("seed " + seed + ": " + message);
          violationCounts.merge(message.substring(0, message.indexOf(':')), 1, Integer::sum);
        });
    System.out.println(
        "seeds "
            + firstSeed
            + " to "
            + lastSeed
            + ": late renewals in "
            + lateRenewals
            + " runs, broken rules "
            + violationCounts);
  }
}
