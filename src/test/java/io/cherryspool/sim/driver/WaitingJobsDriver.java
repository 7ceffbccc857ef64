package io.cherryspool.sim.driver;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.RandomizedRun;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.partition.RandomVerdicts;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs the randomized simulation with many seeds and counts the violations of each rule. A single
 * seed says little about a change of scheduling, since the change alters all later events of the
 * run.
 *
 * <p>The arguments are {@code faults}, {@code verdicts} or {@code tight}, the first seed and the
 * last seed. In {@code tight} runs, quotas are small and one zone has no capacity. Jobs that
 * require this zone may then wait forever, so only the other rules are meaningful in these runs.
 */
public final class WaitingJobsDriver {
  private static final Pattern JOB_ID = Pattern.compile("req-\\d{6}");
  private static final double FAULTS_S = 300;
  private static final double FAULTS_QUIET_S = 200;
  private static final double VERDICTS_S = 240;
  private static final double VERDICTS_QUIET_S = 260;

  /**
   * With small quotas, the same work takes far longer. The faults therefore end earlier, and the
   * quiet time after them is longer.
   */
  private static final double TIGHT_FAULTS_S = 160;

  private static final double TIGHT_QUIET_S = 900;

  private WaitingJobsDriver() {}

  public static void main(String[] args) {
    SeedSweep sweep = new SeedSweep(Long.parseLong(args[1]), Long.parseLong(args[2]));
    sweep.run(seed -> violationOf(args[0], seed));
    sweep.printViolations();
    System.out.println(args[0] + ", " + sweep.summary());
  }

  /** Runs one seed and returns the description of its violation; null if there is none. */
  private static String violationOf(String kind, long seed) {
    RandomizedRun run = newRun(kind, seed);
    try {
      runFor(kind, run);
      return null;
    } catch (AssertionError violation) {
      return violation.getMessage() + describeJob(run, violation);
    }
  }

  private static RandomizedRun newRun(String kind, long seed) {
    return switch (kind) {
      case "faults" -> new RandomizedRun(seed);
      case "verdicts" -> new RandomizedRun(SimulatedCluster.withVerdicts(seed, verdicts(seed)));
      case "tight" -> new RandomizedRun(SimulatedCluster.withScarceCapacity(seed));
      default -> throw new IllegalArgumentException(kind);
    };
  }

  private static void runFor(String kind, RandomizedRun run) {
    switch (kind) {
      case "faults" -> run.run(FAULTS_S, FAULTS_QUIET_S);
      case "verdicts" -> run.run(VERDICTS_S, VERDICTS_QUIET_S);
      default -> run.run(TIGHT_FAULTS_S, TIGHT_QUIET_S);
    }
  }

  /** Describes the requirements of the job that a violation names; empty if it names none. */
  private static String describeJob(RandomizedRun run, AssertionError violation) {
    Matcher id = JOB_ID.matcher(violation.getMessage());
    Job job = id.find() ? run.cluster().rules().job(id.group()) : null;
    if (job == null) {
      return "";
    }
    return String.format(
        " (%s, %d tasks of %.2f CPUs, zone %s, one zone %s, spread %s, spot %s)",
        job.team(),
        job.taskCount(),
        job.perTask().cpus(),
        job.requiredZone(),
        job.requiresSingleZone(),
        job.requiresZoneSpread(),
        job.allowsSpot());
  }

  private static RandomVerdicts verdicts(long seed) {
    return new RandomVerdicts(seed, Duration.ofSeconds((long) VERDICTS_S));
  }
}
