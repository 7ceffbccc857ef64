package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The decisions of a round.
 *
 * @param assignments the tasks placed, in the order in which they were placed
 * @param victims the running tasks to preempt
 * @param unschedulable the pending tasks within their teams' quotas for which no machine has room
 * @param relocatable running tasks that take machines which unschedulable ones need, though they
 *     could run on other types
 * @param heldTasks counts all pending tasks that are not placed, by cause
 * @param machinesExamined how often a machine was examined for a task, a measure of the plan's cost
 */
public record RoundPlan(
    List<Assignment> assignments,
    List<Victim> victims,
    List<TaskGroup> unschedulable,
    List<TaskGroup> relocatable,
    Map<HoldCause, Integer> heldTasks,
    int machinesExamined) {

  /** The plan of a round without pending tasks. */
  public static final RoundPlan EMPTY =
      new RoundPlan(List.of(), List.of(), List.of(), List.of(), Map.of(), 0);

  /**
   * A pending task placed on a machine.
   *
   * @param machine the machine's name
   * @param usesLentQuota whether the task runs in place of one that comes before it in the queue
   *     and lacks a machine
   */
  public record Assignment(String jobId, int taskIndex, String machine, boolean usesLentQuota) {}

  /**
   * A running task to preempt.
   *
   * @param gracePeriod the time that it may use to save a checkpoint
   */
  public record Victim(TaskId task, Duration gracePeriod) {}

  /** A number of tasks of one job, which are all equal. */
  public record TaskGroup(Job job, int taskCount) {}
}
