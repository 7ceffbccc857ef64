package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A job as its user described it: a number of equal, independent tasks. The components are the
 * fields of a submission, and the time of submission.
 *
 * @param jobClass the class whose service-level objective applies
 * @param team the team whose quotas apply
 * @param taskCount the number of tasks, whose indices start from 0
 * @param perTask the resources that each task uses on its machine
 * @param image the image that a machine must have before a task can start on it
 * @param imageGb the size of the image in gigabytes
 * @param allowedTypes the names of the machine types that a task may run on, null for any
 * @param requiredZone the only zone that a task may run in, null for any
 * @param requiresSingleZone whether all tasks must run in the same zone
 * @param requiresZoneSpread whether at most half of the tasks, rounded up, may run in one zone
 * @param allowsSpot whether a task may run on a spot instance
 * @param estimatedRunTime the user's estimate of a task's run time, which is often far off
 * @param checkpointInterval the amount of progress after which a running task saves a checkpoint;
 *     zero if the tasks save none and lose their work when they are stopped
 * @param checkpointDuration the time that a task needs to save a checkpoint when it is stopped
 * @param deadline the time after its submission within which the job should be complete, null for
 *     none
 * @param submittedAt the time of the first submission
 */
public record Job(
    String id,
    String jobClass,
    String team,
    Priority priority,
    int taskCount,
    Resources perTask,
    String image,
    double imageGb,
    List<String> allowedTypes,
    String requiredZone,
    boolean requiresSingleZone,
    boolean requiresZoneSpread,
    boolean allowsSpot,
    Duration estimatedRunTime,
    Duration checkpointInterval,
    Duration checkpointDuration,
    Duration deadline,
    Instant submittedAt) {

  /** Whether a task may run on machines of this type and fits on an empty one. */
  public boolean allowsType(MachineType type) {
    return (allowedTypes == null || allowedTypes.contains(type.name()))
        && perTask.fitsIn(type.capacity());
  }

  /** Whether the job has no required zone, or requires this one. */
  public boolean allowsZone(String candidate) {
    return requiredZone == null || requiredZone.equals(candidate);
  }

  /** Returns the maximum number of tasks that may run in one zone at a time. */
  public int maxTasksPerZone() {
    return requiresZoneSpread ? (taskCount + 1) / 2 : taskCount;
  }

  /**
   * Returns the hash code of the id. Equal jobs have equal ids, and hashing all components would be
   * slower.
   */
  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
