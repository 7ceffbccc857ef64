package io.cherryspool.store;

import io.cherryspool.model.Shard;
import java.util.HashSet;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Keeps the jobs of a {@link RecordsSnapshot} up to date with a {@link JobIndex}. A change only
 * marks its job; the next snapshot copies the marked jobs and shares all others with the previous
 * snapshot.
 */
final class SnapshotTracker implements ClusterRecords.RecordsListener {
  private final JobIndex index;
  private final Set<JobRecord> changedJobs = new HashSet<>();
  private PMap<String, RecordsSnapshot.JobSnapshot> jobs = HashTreePMap.empty();

  SnapshotTracker(JobIndex index) {
    this.index = index;
  }

  /** Returns a snapshot of the jobs in the index. */
  PMap<String, RecordsSnapshot.JobSnapshot> jobs() {
    for (JobRecord job : changedJobs) {
      jobs = jobs.plus(job.job().id(), RecordsSnapshot.JobSnapshot.copyOf(job));
    }
    changedJobs.clear();
    return jobs;
  }

  @Override
  public void onProgress(JobRecord job, Shard before, Shard after) {
    changedJobs.add(job);
  }

  @Override
  public void onJobChanged(JobRecord job) {
    changedJobs.add(job);
  }

  @Override
  public void onReloaded() {
    changedJobs.clear();
    jobs = HashTreePMap.empty();
    changedJobs.addAll(index.all());
  }
}
