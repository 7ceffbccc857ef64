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
 * The jobs that may have been submitted with a mistake: their tasks fail on several machines, and
 * none has ever succeeded. Such a job would fill machines, records and rounds with tries until its
 * user cancels it, so that it gets a few tries at a time, ever more seldom, until one succeeds.
 *
 * <p>A job of which some tasks fail now and then soon has one that succeeds, and one with a bad
 * machine fails on that machine only: neither is held back for longer than a run. Used on the event
 * loop only.
 */
public final class CrashLoopBackoff {
  private static final Logger LOG = LoggerFactory.getLogger(CrashLoopBackoff.class);

  /** Machines on which a job must have failed before the job, not they, is to blame. */
  private static final int MIN_MACHINES = 3;

  /** Tries of a crash-looping job at a time. */
  public static final int MAX_CONCURRENT_RETRIES = 2;

  private static final long FIRST_PAUSE_MILLIS = 500;
  private static final Duration MAX_PAUSE = Duration.ofSeconds(30);

  /** Keeps the doubled pause from overflowing; by then it is above its limit. */
  private static final int MAX_DOUBLINGS = 10;

  private final Map<String, CrashLoop> loops = new HashMap<>();

  /** A job's failures before any success. */
  private static final class CrashLoop {
    private final Set<String> machines = new HashSet<>();
    private Duration lastFailureAt;
    private int tries;
    private boolean isLogged;

    /** Returns whether it is the first failure on that machine. */
    boolean recordFailure(String machine, Duration now) {
      boolean isFirstOnMachine = machines.add(machine);
      // Those that were under way together count as one try.
      tries += isEstablished() && now.compareTo(nextRetryAt(now)) >= 0 ? 1 : 0;
      lastFailureAt = now;
      return isFirstOnMachine;
    }

    void logOnce(String job, String machine) {
      if (!isLogged) {
        isLogged = true;
        LOG.warn(
            "crash loop: job={} fails on {} machines and has succeeded on none, last machine={}; it"
                + " gets {} tries at a time until it succeeds or is cancelled",
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
      Duration pause = Duration.ofMillis(FIRST_PAUSE_MILLIS << Math.min(tries, MAX_DOUBLINGS));
      return lastFailureAt.plus(pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE);
    }
  }

  /**
   * Records that a task of the job failed by itself; returns whether the machine is to blame rather
   * than the job.
   *
   * @param succeeded whether any task of the job was ever done
   */
  public boolean recordFailure(
      JobRecord entry, boolean succeeded, MachineState machine, Duration now) {
    if (succeeded) {
      return true;
    }
    String id = entry.job().id();
    CrashLoop loop = loops.computeIfAbsent(id, key -> new CrashLoop());
    boolean isFirstOnMachine = loop.recordFailure(machine.name(), now);
    if (loop.isEstablished()) {
      loop.logOnce(id, machine.name());
      return false;
    }
    // What has succeeded nowhere says no more of a machine by failing there again and again.
    return isFirstOnMachine;
  }

  /** Ends the backoff, since the job has ended or a task of it has succeeded. */
  public void reset(String job) {
    loops.remove(job);
  }

  /**
   * Whether the job, of which no task has succeeded, is crash-looping. A new leader goes by the
   * records until it has recorded failures itself.
   */
  public boolean isCrashLooping(JobRecord entry) {
    CrashLoop loop = loops.get(entry.job().id());
    return (loop != null && loop.isEstablished()) || isCrashLoopingByRecords(entry);
  }

  /** When the job may be tried again, which may be in the past; now, if nothing is known of it. */
  public Duration nextRetryAt(JobRecord entry, Duration now) {
    CrashLoop loop = loops.get(entry.job().id());
    return loop == null ? now : loop.nextRetryAt(now);
  }

  /** All that was ever tried has failed, but for what may be under way as a try. */
  private static boolean isCrashLoopingByRecords(JobRecord entry) {
    JobRecord.FailureCounts failures = entry.failureCounts();
    return failures.totalFailures() >= MIN_MACHINES
        && failures.failedTasks() >= failures.attemptedTasks() - MAX_CONCURRENT_RETRIES;
  }
}
