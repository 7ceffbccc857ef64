package io.cherryspool.controller.release;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects crash-looping jobs, whose tasks fail on several machines and have never succeeded,
 * probably because of a mistake in the job, and delays their retries. Without the backoff, the
 * retries of such a job would take up machines, records and rounds until its user cancels it. With
 * it, a few tasks are retried at a time, with increasing delays, until one succeeds.
 *
 * <p>A job with occasional task failures soon has a task that succeeds, and a job on a faulty
 * machine fails on that machine only. Neither is delayed for longer than a task takes to run. Used
 * on the event loop only.
 */
public final class CrashLoopBackoff {
  private static final Logger LOG = LoggerFactory.getLogger(CrashLoopBackoff.class);

  /**
   * The number of machines on which a job must have failed before its failures are attributed to
   * the job instead of the machines.
   */
  private static final int MIN_MACHINES = 3;

  /** The maximum number of tasks of a crash-looping job that are retried at a time. */
  public static final int MAX_CONCURRENT_RETRIES = 2;

  private static final long INITIAL_DELAY_MILLIS = 500;
  private static final Duration MAX_DELAY = Duration.ofSeconds(30);

  /**
   * The maximum number of times that the delay is doubled, so that it does not overflow. After this
   * many doublings it exceeds {@link #MAX_DELAY} anyway.
   */
  private static final int MAX_DOUBLINGS = 10;

  private final Map<String, CrashLoop> loops = new HashMap<>();

  /** The failures of a job that has had no success. */
  private static final class CrashLoop {
    private final Set<String> machines = new HashSet<>();
    private Duration lastFailureAt;
    private int retries;
    private boolean isLogged;

    /** Records a failure; returns whether it is the job's first failure on that machine. */
    boolean recordFailure(String machine, Duration now) {
      boolean isFirstOnMachine = machines.add(machine);
      // Failures of tasks that ran concurrently count as one retry.
      retries += isEstablished() && now.compareTo(nextRetryAt(now)) >= 0 ? 1 : 0;
      lastFailureAt = now;
      return isFirstOnMachine;
    }

    void logOnce(String job, String machine) {
      if (!isLogged) {
        isLogged = true;
        LOG.warn(
            "crash loop: job={} fails on {} machines and has succeeded on none, last machine={}; at"
                + " most {} of its tasks are retried at a time until one succeeds or the job is"
                + " cancelled",
            job,
            machines.size(),
            machine,
            MAX_CONCURRENT_RETRIES);
      }
    }

    boolean isEstablished() {
      return machines.size() >= MIN_MACHINES;
    }

    Duration nextRetryAt(Duration now) {
      if (lastFailureAt == null) {
        return now;
      }
      Duration delay = Duration.ofMillis(INITIAL_DELAY_MILLIS << Math.min(retries, MAX_DOUBLINGS));
      return lastFailureAt.plus(delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY);
    }
  }

  /**
   * Records that a task of the job failed by itself. Returns whether the failure is attributed to
   * the machine rather than the job.
   *
   * @param hasSucceeded whether any task of the job has ever completed
   */
  public boolean recordFailure(
      JobRecord jobRecord, boolean hasSucceeded, MachineState machine, Duration now) {
    if (hasSucceeded) {
      return true;
    }
    String jobId = jobRecord.job().id();
    CrashLoop loop = loops.computeIfAbsent(jobId, key -> new CrashLoop());
    boolean isFirstOnMachine = loop.recordFailure(machine.name(), now);
    if (loop.isEstablished()) {
      loop.logOnce(jobId, machine.name());
      return false;
    }
    // As long as no task of the job has succeeded, only the job's first failure on a machine counts
    // against that machine.
    return isFirstOnMachine;
  }

  /** Ends the backoff, since the job has ended or one of its tasks has succeeded. */
  public void reset(String jobId) {
    loops.remove(jobId);
  }

  /**
   * Whether the job is crash-looping. Must be called only for jobs without a completed task. The
   * recorded failure counts are considered as well, since a new leader has observed no failures
   * itself.
   */
  public boolean isCrashLooping(JobRecord jobRecord) {
    CrashLoop loop = loops.get(jobRecord.job().id());
    return (loop != null && loop.isEstablished()) || isCrashLoopingByRecords(jobRecord);
  }

  /**
   * Returns when the job may be retried, which may be in the past. Returns {@code now} if this
   * leader has recorded no failure of the job.
   */
  public Duration nextRetryAt(JobRecord jobRecord, Duration now) {
    CrashLoop loop = loops.get(jobRecord.job().id());
    return loop == null ? now : loop.nextRetryAt(now);
  }

  /**
   * Whether, by the records, every task of the job that was ever attempted has failed, except those
   * that may be running as retries.
   */
  private static boolean isCrashLoopingByRecords(JobRecord jobRecord) {
    JobRecord.FailureCounts failures = jobRecord.failureCounts();
    return failures.totalFailures() >= MIN_MACHINES
        && failures.failedTasks() >= failures.attemptedTasks() - MAX_CONCURRENT_RETRIES;
  }
}
