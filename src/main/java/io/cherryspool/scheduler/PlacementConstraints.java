package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Team;
import java.util.Collection;
import java.util.Optional;

/** Checks the constraints that a job's description sets for the placement of each of its tasks. */
public final class PlacementConstraints {
  private PlacementConstraints() {}

  /**
   * Whether a task of the job may run on an empty machine of this type and zone. The constraints on
   * the zones of all tasks of the job together are not checked.
   */
  public static boolean allows(Job job, MachineType type, String zone, boolean isSpot) {
    return job.allowsType(type) && job.allowsZone(zone) && (job.allowsSpot() || !isSpot);
  }

  /**
   * Returns why the job can never run, or empty if it can.
   *
   * @param team the job's team, null if no such team is configured
   * @param catalog the machine types, null if they are not known yet, in which case only the team's
   *     quota is checked
   */
  public static Optional<String> infeasibilityReason(
      Job job, Team team, Collection<MachineType> catalog) {
    if (team == null) {
      return Optional.of("unknown team " + job.team());
    }
    if (!team.isWithinQuota(job.perTask())) {
      return Optional.of("a task needs more than the limit of team " + job.team());
    }
    if (catalog == null) {
      return Optional.empty();
    }
    for (MachineType type : catalog) {
      if (job.allowsType(type)
          && (job.requiredZone() == null || type.zones().contains(job.requiredZone()))) {
        return Optional.empty();
      }
    }
    return Optional.of("a task fits no allowed machine type");
  }
}
