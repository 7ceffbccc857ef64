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
    int tasks,
    Resources perTask,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    Duration estimate,
    Duration checkpoint,
    Duration save,
    Duration deadline,
    Instant submitted) {

  /** Whether a task may ever run on this type of machine. */
  public boolean allowsType(MachineType type) {
    return (types == null || types.contains(type.name())) && perTask.fitsIn(type.size());
  }

  public boolean allowsZone(String candidate) {
    return zone == null || zone.equals(candidate);
  }

  /** The most tasks that one zone may hold at a time. */
  public int zoneShare() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /** Equal jobs have equal ids; the other components need not be looked at to find one in a map. */
  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
