package io.cherryspool.scheduler;

import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import java.util.Collection;

/** What a job's description allows, whatever the moment. */
public final class PlacementConstraints {
  private PlacementConstraints() {}

  public static boolean allows(Job job, MachineType type, String zone, boolean spot) {
    return job.allowsType(type) && job.allowsZone(zone) && (job.allowsSpot() || !spot);
  }

  /**
   * Why the job can never run, or null if it can. The team alone may say so; without a catalog,
   * null, nothing is said of the machine types.
   */
  public static String infeasibilityReason(Job job, Team team, Collection<MachineType> catalog) {
    if (team == null) {
      return "unknown team " + job.team();
    }
    if (!team.isWithinQuota(Resources.NONE.plus(job.perTask()))) {
      return "a task needs more than the limit of team " + job.team();
    }
    if (catalog == null) {
      return null;
    }
    for (MachineType type : catalog) {
      if (job.allowsType(type)
          && (job.requiredZone() == null || type.zones().contains(job.requiredZone()))) {
        return null;
      }
    }
    return "a task fits no allowed machine type";
  }
}
