package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.Team;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that a round is planned from. Plain values, so that the same view gives the same plan.
 *
 * @param clock the steady clock, for how long tasks have run
 * @param scarce the jobs that found no room in the round before
 * @param owed the teams whose unfinished work all fits into their guarantee
 * @param beginWithin the age at which a job that has not begun goes before all others
 */
public record ClusterView(
    Instant now,
    Duration clock,
    Duration beginWithin,
    List<JobView> jobs,
    List<MachineView> machines,
    Map<String, Team> teams,
    Map<String, Resources> teamUse,
    Set<String> owed,
    List<MachineType> catalog,
    List<Job> scarce,
    Map<String, List<Double>> deadlineTimes) {

  /**
   * A job with its free tasks. {@code held} counts those that the failure cap keeps back; they are
   * not among {@code free}. {@code perZone} counts the owned tasks by zone, and is empty for a job
   * to which zones are all the same. {@code begun} tells whether any task was ever started.
   */
  public record JobView(
      Job job, List<FreeTask> free, Map<String, Integer> perZone, int held, boolean begun) {}

  /**
   * A task without an owner; {@code lapsed} is when its last attempt ended, null for a first one.
   */
  public record FreeTask(int number, int attempts, int failures, Duration lapsed) {}

  /**
   * A machine; {@code free} is what its owned tasks, saving and unreachable ones too, leave. One
   * that is {@code closing} is to run empty and gets only what finds no room elsewhere.
   */
  public record MachineView(
      String name,
      MachineType type,
      String zone,
      boolean spot,
      boolean closing,
      Resources free,
      Set<String> images,
      Set<String> shunnedBy,
      List<RunningTask> running) {}

  /** An owned task as far as stopping it is concerned; {@code since} is null until it runs. */
  public record RunningTask(TaskId task, Job job, Duration since, boolean stopping) {}
}
