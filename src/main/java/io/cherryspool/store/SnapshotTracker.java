package io.cherryspool.store;

import io.cherryspool.model.Shard;
import java.util.HashSet;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Keeps the jobs of a {@link RecordsSnapshot} up to date with the replica. A change is only noted;
 * taking the picture folds in what changed since the last one, and shares all else with it.
 */
final class SnapshotTracker implements ClusterRecords.RecordsListener {
  private final RecordIndex index;
  private final Set<JobRecord> changed = new HashSet<>();
  private PMap<String, RecordsSnapshot.JobSnapshot> jobs = HashTreePMap.empty();

  SnapshotTracker(RecordIndex index) {
    this.index = index;
  }

  /** The jobs as the replica has them now. */
  PMap<String, RecordsSnapshot.JobSnapshot> jobs() {
    for (JobRecord entry : changed) {
      jobs = jobs.plus(entry.job().id(), RecordsSnapshot.JobSnapshot.copyOf(entry));
    }
    changed.clear();
    return jobs;
  }

  @Override
  public void onProgress(JobRecord entry, Shard before, Shard after) {
    changed.add(entry);
  }

  @Override
  public void onJobChanged(JobRecord entry) {
    changed.add(entry);
  }

  @Override
  public void onReloaded() {
    changed.clear();
    jobs = HashTreePMap.empty();
    changed.addAll(index.jobs());
  }
}
