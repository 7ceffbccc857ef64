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
 * The tasks that run on quota which others without a machine have lent. It is memory of one term: a
 * next leader counts the lent quota as used, until these tasks end.
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

  /** Counts the task among those that run on lent quota, from its commit to its end. */
  void add(TaskId task) {
    tasks.add(task);
  }

  /** What these tasks use, by team. Called while no round is being committed. */
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
