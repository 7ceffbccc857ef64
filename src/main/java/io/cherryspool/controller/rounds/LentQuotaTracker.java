package io.cherryspool.controller.rounds;

import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Resources;
import io.cherryspool.model.TaskId;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the tasks that run on quota lent by tasks without a machine. The tracked tasks are kept in
 * memory only, for one term: the next leader counts them as ordinary usage of their teams' quota
 * until they end.
 *
 * <p>Used on the event loop only.
 */
final class LentQuotaTracker {
  private final ClusterRecords records;
  private final PendingReleases pendingReleases;
  private final Set<TaskId> tasks = new HashSet<>();

  LentQuotaTracker(ClusterRecords records, PendingReleases pendingReleases) {
    this.records = records;
    this.pendingReleases = pendingReleases;
  }

  /**
   * Adds a task that is placed on lent quota. The task counts from the commit of its assignment
   * until its end.
   */
  void add(TaskId task) {
    tasks.add(task);
  }

  /**
   * Returns the resources of the tracked tasks by team. Must be called while no round is being
   * committed, since it removes tasks without a committed assignment.
   */
  Map<String, Resources> usageByTeam() {
    Map<String, Resources> usage = new HashMap<>();
    for (Iterator<TaskId> iterator = tasks.iterator(); iterator.hasNext(); ) {
      TaskId task = iterator.next();
      JobRecord record = records.job(task.jobId());
      if (record == null || !isOwned(record, task)) {
        iterator.remove();
      } else {
        Job job = record.job();
        usage.merge(job.team(), job.perTask(), Resources::plus);
      }
    }
    return usage;
  }

  private boolean isOwned(JobRecord job, TaskId task) {
    return job.outcome() != Outcome.DONE
        && job.shard(job.shardIndexOf(task.index())).shard().ownedAttempt(task.index()) != null
        && !pendingReleases.releasesOf(task.jobId()).containsKey(task.index());
  }
}
