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
 * The complete input of a round's planning. It consists of plain values, so that equal views give
 * equal plans.
 *
 * @param now the wall-clock time, to which jobs' ages and deadlines refer
 * @param monotonicNow the monotonic clock's time, to which {@link PendingTask} and {@link
 *     RunningTask} refer
 * @param maxStartDelay the age at which a job that has not started may have one task promoted, that
 *     is, placed before those of all other jobs
 * @param teams the teams by name
 * @param usageByTeam the resources of all owned tasks by team; teams without owned tasks may be
 *     missing
 * @param lentUsageByTeam the part of {@code usageByTeam} that runs on quota lent by tasks without a
 *     machine, see {@link RoundPlan.Assignment#usesLentQuota}; teams without such usage may be
 *     missing
 * @param teamsWithinGuarantee the names of the teams whose whole unfinished work fits into their
 *     guaranteed quota
 * @param catalog the machine types
 * @param previouslyUnschedulable the jobs for which the previous round found no machines
 * @param deadlineMultiples the multiples of a job's deadline that the service-level objectives
 *     measure, in ascending order, by job class
 */
public record ClusterView(
    Instant now,
    Duration monotonicNow,
    Duration maxStartDelay,
    List<JobView> jobs,
    List<MachineView> machines,
    Map<String, Team> teams,
    Map<String, Resources> usageByTeam,
    Map<String, Resources> lentUsageByTeam,
    Set<String> teamsWithinGuarantee,
    List<MachineType> catalog,
    List<Job> previouslyUnschedulable,
    Map<String, List<Double>> deadlineMultiples) {

  /**
   * A job with its pending tasks.
   *
   * @param pendingTasks the tasks that may be placed, ordered by index
   * @param ownedTaskCountsByZone the number of owned tasks by zone; empty for a job that neither
   *     requires a single zone nor a spread over zones
   * @param failureCappedTasks the number of free tasks that may not be placed now because they have
   *     reached the failure cap; they are not among the pending tasks
   * @param hasStarted whether any task was ever started
   */
  public record JobView(
      Job job,
      List<PendingTask> pendingTasks,
      Map<String, Integer> ownedTaskCountsByZone,
      int failureCappedTasks,
      boolean hasStarted) {}

  /**
   * A task that no attempt owns.
   *
   * @param index the task's index in its job
   * @param attempts how often the task was started
   * @param failures how often it failed or was lost with its machine
   * @param lastAttemptEndedAt the monotonic clock's time at which the last attempt ended, null if
   *     there was no attempt or its end is not known
   */
  public record PendingTask(int index, int attempts, int failures, Duration lastAttemptEndedAt) {}

  /**
   * A machine on which tasks may be placed.
   *
   * @param isDraining whether the machine should become idle, so that it can be deleted; placement
   *     does not use this yet
   * @param free the capacity without the resources of the machine's owned tasks, which include
   *     tasks that are saving a checkpoint and tasks whose state is not known
   * @param cachedImages the images that the machine has or is fetching
   * @param excludedJobs the ids of the jobs that must not be placed on the machine because they
   *     recently failed there
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

  /**
   * An owned task, which may be preempted.
   *
   * @param runningSince the monotonic clock's time at which the task began to run, null if it is
   *     not known to have begun
   * @param isStopping whether a stop of the task was already requested
   */
  public record RunningTask(TaskId task, Job job, Duration runningSince, boolean isStopping) {}
}
