package io.cherryspool.sim.driver;

import io.cherryspool.sim.faults.LateAcknowledgementRun;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs {@link LateAcknowledgementRun} with many seeds and counts the runs in which the faults met,
 * and those that broke each rule. The arguments are the first and the last seed.
 */
public final class LateAcknowledgementDriver {
  private LateAcknowledgementDriver() {}

  public static void main(String[] args) {
    SeedSweep sweep = new SeedSweep(Long.parseLong(args[0]), Long.parseLong(args[1]));
    AtomicInteger lateRenewals = new AtomicInteger();
    sweep.run(
        seed -> {
          LateAcknowledgementRun run = new LateAcknowledgementRun(seed);
          String violation = violationOf(run);
          if (run.hasLateRenewal()) {
            lateRenewals.incrementAndGet();
          }
          return violation;
        });
    sweep.printViolations();
    System.out.println(sweep.summary() + ", late renewals in " + lateRenewals + " runs");
  }

  /** Runs the simulation and returns the description of its violation; null if there is none. */
  private static String violationOf(LateAcknowledgementRun run) {
    try {
      run.run();
      return null;
    } catch (AssertionError violation) {
      return violation.getMessage();
    }
  }
}
