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
 * The releases of owned tasks that are proved and not yet in the records. What is proved stays
 * true, so a release may wait and share a write with others of its job: the capacity and the quota
 * that it frees count at once. A leader that ends before the write loses nothing by it, since
 * workers repeat an exited task until it is acknowledged, and a task started again after it was
 * done exits as done. Used on the event loop only.
 */
public final class PendingReleases {

  /** That the attempt has ended, how, and when this leader learnt it. */
  public record Release(
      Ownership.OwnedTask owned, TerminationEvidence.Verdict verdict, Duration learnedAt) {

    /** Whether the task is completed. */
    public boolean isDone() {
      return verdict == TerminationEvidence.Verdict.DONE;
    }

    /** Whether the task's count of failures is raised by it. */
    public boolean countsAsFailure() {
      return verdict == TerminationEvidence.Verdict.FAILED
          || verdict == TerminationEvidence.Verdict.LOST;
    }
  }

  private final Map<String, Map<Integer, Release>> byJob = new LinkedHashMap<>();

  /** Adds a release, in place of one of an earlier attempt of the task. */
  public void add(Release release) {
    byJob
        .computeIfAbsent(release.owned().taskId().jobId(), key -> new TreeMap<>())
        .put(release.owned().taskId().index(), release);
  }

  /** Whether a release of this very attempt is pending. */
  public boolean contains(Ownership.OwnedTask owned) {
    Release release = releasesOf(owned.taskId().jobId()).get(owned.taskId().index());
    return release != null && release.owned().attempt().equals(owned.attempt());
  }

  /** The job's releases by task index, in order; a live view, empty if there are none. */
  public Map<Integer, Release> releasesOf(String id) {
    return byJob.getOrDefault(id, Map.of());
  }

  /** The jobs that have releases pending, as a live view. */
  public Set<String> jobIds() {
    return Collections.unmodifiableSet(byJob.keySet());
  }

  /** How many of the releases complete their task. */
  public static int countDone(Collection<Release> releases) {
    int count = 0;
    for (Release release : releases) {
      count += release.isDone() ? 1 : 0;
    }
    return count;
  }

  /** Removes the attempt's release, since the records do not have the attempt as owner any more. */
  public void remove(Ownership.OwnedTask owned) {
    if (contains(owned)) {
      Map<Integer, Release> releases = byJob.get(owned.taskId().jobId());
      releases.remove(owned.taskId().index());
      if (releases.isEmpty()) {
        byJob.remove(owned.taskId().jobId());
      }
    }
  }

  /** Removes all releases, since the records were read anew. */
  public void clear() {
    byJob.clear();
  }
}
