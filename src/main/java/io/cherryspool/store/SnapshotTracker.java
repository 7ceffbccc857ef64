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
  private final Set<JobRecord> changed = new HashSet<>();
  private PMap<String, RecordsSnapshot.JobSnapshot> jobs = HashTreePMap.empty();

  SnapshotTracker(JobIndex index) {
    this.index = index;
  }

  /** Returns a snapshot of the jobs in the index. */
  PMap<String, RecordsSnapshot.JobSnapshot> jobs() {
    for (JobRecord job : changed) {
      jobs = jobs.plus(job.job().id(), RecordsSnapshot.JobSnapshot.copyOf(job));
    }
    changed.clear();
    return jobs;
  }

  @Override
  public void onProgress(JobRecord job, Shard before, Shard after) {
    changed.add(job);
  }

  @Override
  public void onJobChanged(JobRecord job) {
    changed.add(job);
  }

  @Override
  public void onReloaded() {
    changed.clear();
    jobs = HashTreePMap.empty();
    changed.addAll(index.all());
  }
}
