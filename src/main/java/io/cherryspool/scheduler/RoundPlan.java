package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.List;

/**
 * What a round decides: the assignments, the tasks to stop for others, and what found no room.
 *
 * @param relocatable tasks in places that those without room need, while they could use others
 * @param machinesExamined how many machines were looked at for tasks, which is what a plan costs
 */
public record RoundPlan(
    List<Assignment> assignments,
    List<Victim> victims,
    List<TaskGroup> unschedulable,
    List<TaskGroup> relocatable,
    int machinesExamined) {

  /** Nothing to do. */
  public static final RoundPlan EMPTY =
      new RoundPlan(List.of(), List.of(), List.of(), List.of(), 0);

  /** A free task given to a machine. */
  public record Assignment(String jobId, int taskIndex, String machine) {}

  /** A task to be stopped to make room, and the time it may take to save. */
  public record Victim(TaskId task, Duration gracePeriod) {}

  /** So many tasks of a job that their team may run but for which no machine has room. */
  public record TaskGroup(Job job, int taskCount) {}
}
