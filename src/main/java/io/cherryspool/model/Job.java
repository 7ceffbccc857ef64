package io.cherryspool.model;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A job as its user described it. {@code types} is null when any machine type will do, {@code zone}
 * when any zone will, {@code deadline} when there is none.
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

  public boolean allowsZone(String candidate) {
    return requiredZone == null || requiredZone.equals(candidate);
  }

  /** The most tasks that one zone may hold at a time. */
  public int maxTasksPerZone() {
    return requiresZoneSpread ? (taskCount + 1) / 2 : taskCount;
  }

  /** Equal jobs have equal ids; the other components need not be looked at to find one in a map. */
  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
