package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.List;

/**
 * What a round decides: the assignments, the tasks to stop for others, and what found no room.
 *
 * @param displacing tasks in places that those without room need, while they could use others
 * @param considered how many machines were looked at for tasks, which is what a plan costs
 */
public record RoundPlan(
    List<Assignment> assignments,
    List<Stop> stops,
    List<Unplaced> unplaced,
    List<Unplaced> displacing,
    int considered) {

  /** Nothing to do. */
  public static final RoundPlan NOTHING =
      new RoundPlan(List.of(), List.of(), List.of(), List.of(), 0);

  /** A free task given to a machine. */
  public record Assignment(String job, int task, String machine) {}

  /** A task to be stopped to make room, and the time it may take to save. */
  public record Stop(TaskId task, Duration grace) {}

  /** So many tasks of a job that their team may run but for which no machine has room. */
  public record Unplaced(Job job, int tasks) {}
}
