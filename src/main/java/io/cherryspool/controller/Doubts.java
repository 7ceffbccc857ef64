package io.cherryspool.controller;

import io.cherryspool.store.JobEntry;
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
 * machine fails on that machine only: neither is in doubt for longer than a run.
 */
final class Doubts {
  private static final Logger LOG = LoggerFactory.getLogger(Doubts.class);

  /** Machines on which a job must have failed before it, not they, is doubted. */
  private static final int MACHINES = 3;

  /** Tries of a doubted job at a time. */
  static final int TRIES = 2;

  private static final Duration MAX_PAUSE = Duration.ofSeconds(30);

  private final Map<String, Doubt> doubts = new HashMap<>();

  private static final class Doubt {
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
  boolean failed(JobEntry entry, boolean succeeded, MachineState machine, Duration now) {
    String id = entry.job().id();
    if (succeeded) {
      return true;
    }
    Doubt doubt = doubts.computeIfAbsent(id, key -> new Doubt());
    // What has succeeded nowhere says no more of a machine by failing there again and again.
    boolean first = doubt.machines.add(machine.name);
    // Those that were under way together count as one try.
    doubt.tries += doubted(doubt) && now.compareTo(doubt.ready(now)) >= 0 ? 1 : 0;
    doubt.last = now;
    if (doubted(doubt)) {
      if (!doubt.told) {
        doubt.told = true;
        LOG.warn(
            "job {} fails on {} machines and has succeeded on none, last on {}: it gets {} tries at"
                + " a time until it succeeds or is cancelled",
            id,
            doubt.machines.size(),
            machine.name,
            TRIES);
      }
    }
    return first && !doubted(doubt);
  }

  /** The job has ended, or a task of it has succeeded. */
  void drop(String job) {
    doubts.remove(job);
  }

  /**
   * Whether the job is in doubt, of which no task has succeeded. A new leader goes by the records
   * until it has seen for itself.
   */
  boolean doubted(JobEntry entry) {
    Doubt doubt = doubts.get(entry.job().id());
    return doubt != null && doubted(doubt) || recorded(entry);
  }

  /** When the job may be tried again. */
  Duration ready(JobEntry entry, Duration now) {
    Doubt doubt = doubts.get(entry.job().id());
    return doubt == null ? now : doubt.ready(now);
  }

  private static boolean doubted(Doubt doubt) {
    return doubt.machines.size() >= MACHINES;
  }

  /** All that was ever tried has failed, but for what may be under way as a try. */
  private static boolean recorded(JobEntry entry) {
    JobEntry.Failures failures = entry.failures();
    return failures.all() >= MACHINES && failures.tasks() >= failures.tried() - TRIES;
  }
}
