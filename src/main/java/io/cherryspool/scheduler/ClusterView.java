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
 * @param steadyNow the steady clock, for how long tasks have run
 * @param previouslyUnschedulable the jobs that found no room in the round before
 * @param teamsWithinGuarantee the teams whose unfinished work all fits into their guarantee
 * @param maxStartDelay the age at which a job that has not begun goes before all others
 */
public record ClusterView(
    Instant now,
    Duration steadyNow,
    Duration maxStartDelay,
    List<JobView> jobs,
    List<MachineView> machines,
    Map<String, Team> teams,
    Map<String, Resources> usageByTeam,
    Set<String> teamsWithinGuarantee,
    List<MachineType> catalog,
    List<Job> previouslyUnschedulable,
    Map<String, List<Double>> deadlineMultiples) {

  /**
   * A job with its free tasks. {@code held} counts those that the failure cap keeps back; they are
   * not among {@code free}. {@code perZone} counts the owned tasks by zone, and is empty for a job
   * to which zones are all the same. {@code begun} tells whether any task was ever started.
   */
  public record JobView(
      Job job,
      List<PendingTask> pendingTasks,
      Map<String, Integer> ownedTasksByZone,
      int heldBackTasks,
      boolean hasStarted) {}

  /**
   * A task without an owner; {@code lapsed} is when its last attempt ended, null for a first one.
   */
  public record PendingTask(int index, int attempts, int failures, Duration lastAttemptEndedAt) {}

  /**
   * A machine; {@code free} is what its owned tasks, saving and unreachable ones too, leave. One
   * that is {@code closing} is to run empty and gets only what finds no room elsewhere.
   */
  public record MachineView(
      String name,
      MachineType type,
      String zone,
      boolean isSpot,
      boolean isDraining,
      Resources free,
      Set<String> cachedImages,
      Set<String> excludedJobs,
      List<RunningTask> runningTasks) {}

  /** An owned task as far as stopping it is concerned; {@code since} is null until it runs. */
  public record RunningTask(TaskId task, Job job, Duration runningSince, boolean isStopping) {}
}
