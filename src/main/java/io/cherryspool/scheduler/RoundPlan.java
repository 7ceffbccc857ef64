package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The decisions of a round.
 *
 * @param assignments the placed tasks, in the order in which they were placed
 * @param victims the running tasks to preempt
 * @param unschedulable the pending tasks within their teams' quotas for which no machine has room,
 *     and for which machines may be requested
 * @param relocatable the running tasks that occupy machines which unschedulable tasks need,
 *     although they could run on other machine types
 * @param heldTasks the number of pending tasks that are not placed, by cause
 * @param machinesExamined the number of times a machine was examined for a task, a measure of the
 *     planning cost
 */
public record RoundPlan(
    List<Assignment> assignments,
    List<Victim> victims,
    List<TaskGroup> unschedulable,
    List<TaskGroup> relocatable,
    Map<HoldCause, Integer> heldTasks,
    int machinesExamined) {

  /** The plan of a round without pending tasks, which decides nothing. */
  public static final RoundPlan EMPTY =
      new RoundPlan(List.of(), List.of(), List.of(), List.of(), Map.of(), 0);

  /**
   * The placement of a pending task on a machine.
   *
   * @param machine the machine's name
   * @param usesLentQuota whether the task uses quota lent by a task of its team that comes earlier
   *     in the queue but lacks a machine
   */
  public record Assignment(String jobId, int taskIndex, String machine, boolean usesLentQuota) {}

  /**
   * A running task to preempt.
   *
   * @param gracePeriod the time that the task has to save a checkpoint
   */
  public record Victim(TaskId task, Duration gracePeriod) {}

  /** A number of equal tasks of one job. */
  public record TaskGroup(Job job, int taskCount) {}
}
