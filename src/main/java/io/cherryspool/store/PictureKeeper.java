package io.cherryspool.store;

import io.cherryspool.model.Shard;
import java.util.HashSet;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Keeps the jobs of a {@link Picture} up to date with the replica. A change is only noted; taking
 * the picture folds in what changed since the last one, and shares all else with it.
 */
final class PictureKeeper implements Replica.Watcher {
  private final RecordIndex index;
  private final Set<JobEntry> changed = new HashSet<>();
  private PMap<String, Picture.PictureJob> jobs = HashTreePMap.empty();

  PictureKeeper(RecordIndex index) {
    this.index = index;
  }

  /** The jobs as the replica has them now. */
  PMap<String, Picture.PictureJob> jobs() {
    for (JobEntry entry : changed) {
      jobs = jobs.plus(entry.job().id(), Picture.PictureJob.of(entry));
    }
    changed.clear();
    return jobs;
  }

  @Override
  public void progressed(JobEntry entry, Shard before, Shard after) {
    changed.add(entry);
  }

  @Override
  public void changed(JobEntry entry) {
    changed.add(entry);
  }

  @Override
  public void reloaded() {
    changed.clear();
    jobs = HashTreePMap.empty();
    changed.addAll(index.jobs());
  }
}
