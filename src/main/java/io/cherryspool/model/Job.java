package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A job as its user described it: a number of equal, independent tasks. It has a component for each
 * field of a submission, and the time of submission.
 *
 * @param jobClass the class whose service-level objective applies
 * @param team the team whose quotas apply
 * @param taskCount the number of tasks, which are numbered from 0
 * @param perTask the resources that each task takes of its machine
 * @param image the image that a machine must hold before a task can start
 * @param imageGb the image's size
 * @param allowedTypes the names of the machine types that a task may run on, null for any
 * @param requiredZone the only zone that a task may run in, null for any
 * @param requiresSingleZone whether all tasks must run in the same zone
 * @param requiresZoneSpread whether one zone may hold at most half of the tasks, rounded up
 * @param allowsSpot whether a task may run on a spot instance
 * @param estimatedRunTime the owner's estimate of a task's run time; often far off
 * @param checkpointInterval the progress after which a running task saves a checkpoint; zero if the
 *     task never does, and loses its work when it is stopped
 * @param checkpointDuration the time that a task needs to save a checkpoint when it is stopped
 * @param deadline when the job should be complete, counted from its submission; null for none
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

  /** Whether a task may ever run on this type of machine. */
  public boolean allowsType(MachineType type) {
    return (allowedTypes == null || allowedTypes.contains(type.name()))
        && perTask.fitsIn(type.capacity());
  }

  /** Whether a task may run in this zone, as far as the job requires one. */
  public boolean allowsZone(String candidate) {
    return requiredZone == null || requiredZone.equals(candidate);
  }

  /** The greatest number of tasks that one zone may hold at a time. */
  public int maxTasksPerZone() {
    return requiresZoneSpread ? (taskCount + 1) / 2 : taskCount;
  }

  /** The id's hash: equal jobs have equal ids, and hashing all components would cost more. */
  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
