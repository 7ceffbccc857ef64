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
 * machine fails on that machine only: neither is held back for longer than a run.
 */
public final class CrashLoopBackoff {
  private static final Logger LOG = LoggerFactory.getLogger(CrashLoopBackoff.class);

  /** Machines on which a job must have failed before it, not they, is to blame. */
  private static final int MACHINES = 3;

  /** Tries of a crash-looping job at a time. */
  public static final int MAX_CONCURRENT_TRIES = 2;

  private static final Duration MAX_PAUSE = Duration.ofSeconds(30);

  private final Map<String, CrashLoop> loops = new HashMap<>();

  private static final class CrashLoop {
    private final Set<String> machines = new HashSet<>();
    private Duration last;
    private int tries;
    private boolean told;

    Duration ready(Duration now) {
      Duration pause = Duration.ofMillis(500L << Math.min(tries, 10));
      return last == null ? now : last.plus(pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE);
    }
  }

  /** A task of the job failed by itself; true if the machine, not the job, is to blame. */
  public boolean recordFailure(
      JobRecord entry, boolean succeeded, MachineState machine, Duration now) {
    String id = entry.job().id();
    if (succeeded) {
      return true;
    }
    CrashLoop loop = loops.computeIfAbsent(id, key -> new CrashLoop());
    // What has succeeded nowhere says no more of a machine by failing there again and again.
    boolean first = loop.machines.add(machine.name());
    // Those that were under way together count as one try.
    loop.tries += isCrashLooping(loop) && now.compareTo(loop.ready(now)) >= 0 ? 1 : 0;
    loop.last = now;
    if (isCrashLooping(loop)) {
      if (!loop.told) {
        loop.told = true;
        LOG.warn(
            "job {} fails on {} machines and has succeeded on none, last on {}: it gets {} tries at"
                + " a time until it succeeds or is cancelled",
            id,
            loop.machines.size(),
            machine.name(),
            MAX_CONCURRENT_TRIES);
      }
    }
    return first && !isCrashLooping(loop);
  }

  /** The job has ended, or a task of it has succeeded. */
  public void reset(String job) {
    loops.remove(job);
  }

  /**
   * Whether the job, of which no task has succeeded, is crash-looping. A new leader goes by the
   * records until it has seen for itself.
   */
  public boolean isCrashLooping(JobRecord entry) {
    CrashLoop loop = loops.get(entry.job().id());
    return loop != null && isCrashLooping(loop) || recorded(entry);
  }

  /** When the job may be tried again. */
  public Duration nextTryAt(JobRecord entry, Duration now) {
    CrashLoop loop = loops.get(entry.job().id());
    return loop == null ? now : loop.ready(now);
  }

  private static boolean isCrashLooping(CrashLoop loop) {
    return loop.machines.size() >= MACHINES;
  }

  /** All that was ever tried has failed, but for what may be under way as a try. */
  private static boolean recorded(JobRecord entry) {
    JobRecord.FailureCounts failures = entry.failureCounts();
    return failures.totalFailures() >= MACHINES
        && failures.failedTasks() >= failures.attemptedTasks() - MAX_CONCURRENT_TRIES;
  }
}
