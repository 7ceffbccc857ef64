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
 * true, so a release may wait and share a write with others of its job: the room and the allowance
 * that it frees count at once. A leader that ends before the write takes nothing with it, since
 * workers repeat an exited task until they are told to forget it, and a task started again after it
 * was done exits as done.
 */
public final class PendingReleases {

  /** That the attempt has ended, how, and when this leader learnt it. */
  public record Release(
      Ownership.OwnedTask owned, TerminationEvidence.Verdict verdict, Duration learnedAt) {
    public boolean isDone() {
      return verdict == TerminationEvidence.Verdict.DONE;
    }

    public boolean countsAsFailure() {
      return verdict == TerminationEvidence.Verdict.FAILED
          || verdict == TerminationEvidence.Verdict.LOST;
    }
  }

  private final Map<String, Map<Integer, Release>> byJob = new LinkedHashMap<>();

  public void add(Release release) {
    byJob
        .computeIfAbsent(release.owned().id().jobId(), key -> new TreeMap<>())
        .put(release.owned().id().index(), release);
  }

  /** The release of this attempt, or null if none is pending. */
  Release find(Ownership.OwnedTask owned) {
    Release release = ofJob(owned.id().jobId()).get(owned.id().index());
    return release != null && release.owned().attempt().equals(owned.attempt()) ? release : null;
  }

  public boolean contains(Ownership.OwnedTask owned) {
    return find(owned) != null;
  }

  /** By task number, in order. */
  public Map<Integer, Release> ofJob(String id) {
    return byJob.getOrDefault(id, Map.of());
  }

  public Set<String> jobIds() {
    return Collections.unmodifiableSet(byJob.keySet());
  }

  public static int countDone(Collection<Release> releases) {
    int count = 0;
    for (Release release : releases) {
      count += release.isDone() ? 1 : 0;
    }
    return count;
  }

  /** The records have it now, or the task is another attempt's. */
  public void remove(Ownership.OwnedTask owned) {
    if (contains(owned)) {
      Map<Integer, Release> releases = byJob.get(owned.id().jobId());
      releases.remove(owned.id().index());
      if (releases.isEmpty()) {
        byJob.remove(owned.id().jobId());
      }
    }
  }

  public void clear() {
    byJob.clear();
  }
}
