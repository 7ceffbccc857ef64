package io.cherryspool.controller.rounds;

import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.scheduler.RoundPlan;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Builds the view of the cluster that is the input of a round's planning.
 *
 * <p>Used on the event loop only.
 */
final class ClusterViewBuilder {
  private final ClusterRecords records;
  private final PendingReleases pendingReleases;
  private final JobViewCache jobViews;
  private final MachineViewCache machineViews;
  private final PlanningInputs inputs;
  private final LentQuotaTracker lentQuota;

  ClusterViewBuilder(
      ClusterRecords records,
      PendingReleases pendingReleases,
      JobViewCache jobViews,
      MachineViewCache machineViews,
      PlanningInputs inputs) {
    this.records = records;
    this.pendingReleases = pendingReleases;
    this.jobViews = jobViews;
    this.machineViews = machineViews;
    this.inputs = inputs;
    lentQuota = new LentQuotaTracker(records, pendingReleases);
  }

  /** Returns the tracker of the tasks that run on lent quota. */
  LentQuotaTracker lentQuota() {
    return lentQuota;
  }

  /** Whether the machine types are known; without them no round can be planned. */
  boolean isCatalogKnown() {
    return inputs.catalog().get() != null;
  }

  /** Returns the jobs with tasks that may be placed. */
  List<ClusterView.JobView> schedulableJobs(Duration now) {
    return jobViews.schedulableJobs(now);
  }

  /**
   * Builds the view of the cluster. The machine types must be known, see {@link #isCatalogKnown}.
   *
   * @param jobs the result of {@link #schedulableJobs}
   * @param previous the plan of the previous round
   */
  ClusterView build(List<ClusterView.JobView> jobs, RoundPlan previous, Duration now) {
    List<MachineType> catalog = inputs.catalog().get();
    List<Job> previouslyUnschedulable = new ArrayList<>();
    for (RoundPlan.TaskGroup group : previous.unschedulable()) {
      previouslyUnschedulable.add(group.job());
    }
    return new ClusterView(
        inputs.clock().instant(),
        now,
        inputs.limits().maxStartDelay(),
        jobs,
        machineViews.schedulableMachines(catalog, now),
        inputs.teams(),
        usageByTeam(),
        lentQuota.usageByTeam(),
        teamsWithinGuarantee(),
        catalog,
        previouslyUnschedulable,
        inputs.limits().deadlineMultiples());
  }

  /**
   * Returns the resources of each team's owned tasks, without tasks that are proved to have ended.
   */
  private Map<String, Resources> usageByTeam() {
    Map<String, Resources> usage = new HashMap<>();
    for (JobRecord job : records.activeJobs()) {
      int count = job.ownedCount() - pendingReleases.releasesOf(job.job().id()).size();
      if (count > 0) {
        usage.merge(job.job().team(), job.job().perTask().times(count), Resources::plus);
      }
    }
    return usage;
  }

  /** Returns the teams whose whole unfinished work fits into their guaranteed quota. */
  private Set<String> teamsWithinGuarantee() {
    Map<String, Resources> unfinished = new HashMap<>();
    for (JobRecord job : records.activeJobs()) {
      if (job.outcome() == null) {
        int count = job.job().taskCount() - job.doneCount();
        unfinished.merge(job.job().team(), job.job().perTask().times(count), Resources::plus);
      }
    }
    Set<String> result = new HashSet<>();
    unfinished.forEach(
        (name, sum) -> {
          Team team = inputs.teams().get(name);
          if (team != null && team.isWithinGuaranteedQuota(sum)) {
            result.add(name);
          }
        });
    return result;
  }
}
