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
 * Everything that a round is planned from. It holds plain values, so that equal views give equal
 * plans.
 *
 * @param now the time of day, to which jobs' ages and deadlines refer
 * @param monotonicNow the steady clock's time, to which {@link PendingTask} and {@link RunningTask}
 *     refer
 * @param maxStartDelay the age at which a job that has not started gets one task placed before
 *     those of all other jobs
 * @param teams the teams by name
 * @param usageByTeam the resources of all owned tasks by team; teams without any may be missing
 * @param lentUsageByTeam the part of that use whose quota was lent by tasks without a machine, see
 *     {@link RoundPlan.Assignment#usesLentQuota}; teams without any may be missing
 * @param teamsWithinGuarantee the names of the teams whose unfinished work all fits into their
 *     guaranteed quota
 * @param catalog the machine types
 * @param previouslyUnschedulable the jobs that the round before had no machines for
 * @param deadlineMultiples by job class, the multiples of a job's deadline that the service-level
 *     objectives measure, in ascending order
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
   * @param pendingTasks the tasks that may be placed, in the order of their indices
   * @param ownedTasksByZone counts the owned tasks by zone; empty for a job without a constraint on
   *     zones
   * @param failureCappedTasks counts the free tasks that the failure cap keeps from being placed,
   *     which are not among the pending ones
   * @param hasStarted whether any task was ever started
   */
  public record JobView(
      Job job,
      List<PendingTask> pendingTasks,
      Map<String, Integer> ownedTasksByZone,
      int failureCappedTasks,
      boolean hasStarted) {}

  /**
   * A task without an owner.
   *
   * @param index the task's index in its job
   * @param attempts how often the task was started
   * @param failures how often it failed or was lost with its machine
   * @param lastAttemptEndedAt the steady clock's time at which the last attempt ended, null if
   *     there was none
   */
  public record PendingTask(int index, int attempts, int failures, Duration lastAttemptEndedAt) {}

  /**
   * A machine that may be given tasks.
   *
   * @param isDraining whether the machine should become idle, so that it can be deleted; placement
   *     does not use this yet
   * @param free what the tasks that own a part of the machine leave, among them those that save a
   *     checkpoint and those whose state is not known
   * @param cachedImages the images that the machine has or is fetching
   * @param excludedJobs the ids of the jobs that must not be placed here, since they failed here
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
   * @param runningSince the steady clock's time at which it began to run, null if it has not
   * @param isStopping whether the task is being stopped already
   */
  public record RunningTask(TaskId task, Job job, Duration runningSince, boolean isStopping) {}
}
