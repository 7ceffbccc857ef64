package io.cherryspool.controller.release;

import io.cherryspool.controller.ownership.Ownership;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The releases of owned tasks whose end is proved but not yet written to the records. Such a proof
 * stays valid, so a release may wait and share a write with other releases of its job, while the
 * capacity and quota that it frees are available at once. Nothing is lost if the leader's term ends
 * before the write: workers keep reporting an exited task until it is acknowledged, and a task that
 * is started again after it was done exits as done. Used on the event loop only.
 */
public final class PendingReleases {

  /**
   * The release of an owned task: the attempt that ended, how it ended, and when this leader
   * learned of it.
   */
  public record Release(
      Ownership.OwnedTask owned, TerminationEvidence.Assessment assessment, Duration learnedAt) {

    /** Whether the attempt completed its task. */
    public boolean isDone() {
      return assessment == TerminationEvidence.Assessment.DONE;
    }

    /** Whether the release increases the task's failure count. */
    public boolean countsAsFailure() {
      return assessment == TerminationEvidence.Assessment.FAILED
          || assessment == TerminationEvidence.Assessment.LOST;
    }
  }

  private final Map<String, Map<Integer, Release>> byJob = new LinkedHashMap<>();

  /** Adds a release, which replaces one of an earlier attempt of the same task. */
  public void add(Release release) {
    byJob
        .computeIfAbsent(release.owned().taskId().jobId(), key -> new TreeMap<>())
        .put(release.owned().taskId().index(), release);
  }

  /** Whether a release of exactly this attempt is pending. */
  public boolean contains(Ownership.OwnedTask owned) {
    Release release = releasesOf(owned.taskId().jobId()).get(owned.taskId().index());
    return release != null && release.owned().attempt().equals(owned.attempt());
  }

  /**
   * Returns a live view of the job's pending releases in the order of their task indices, empty if
   * there are none.
   */
  public Map<Integer, Release> releasesOf(String jobId) {
    return byJob.getOrDefault(jobId, Map.of());
  }

  /** Returns a live view of the ids of the jobs that have pending releases. */
  public Set<String> jobIds() {
    return Collections.unmodifiableSet(byJob.keySet());
  }

  /** Returns how many of the releases complete their task. */
  public static int countDone(Collection<Release> releases) {
    int count = 0;
    for (Release release : releases) {
      count += release.isDone() ? 1 : 0;
    }
    return count;
  }

  /** Removes the attempt's release, since the attempt no longer owns its task by the records. */
  public void remove(Ownership.OwnedTask owned) {
    if (contains(owned)) {
      Map<Integer, Release> releases = byJob.get(owned.taskId().jobId());
      releases.remove(owned.taskId().index());
      if (releases.isEmpty()) {
        byJob.remove(owned.taskId().jobId());
      }
    }
  }

  /** Removes all releases, since all records were read again. */
  public void clear() {
    byJob.clear();
  }
}
