package io.cherryspool.controller;

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
final class PendingReleases {

  /** That the attempt has ended, how, and when this leader learnt it. */
  record Release(Ownership.Owned owned, ReleaseEvidence.Verdict verdict, Duration at) {
    boolean done() {
      return verdict == ReleaseEvidence.Verdict.DONE;
    }

    boolean failed() {
      return verdict == ReleaseEvidence.Verdict.FAILED || verdict == ReleaseEvidence.Verdict.LAPSED;
    }
  }

  private final Map<String, Map<Integer, Release>> byJob = new LinkedHashMap<>();

  void add(Release release) {
    byJob
        .computeIfAbsent(release.owned().id().jobId(), key -> new TreeMap<>())
        .put(release.owned().id().index(), release);
  }

  /** The release of this attempt, or null if none is pending. */
  Release of(Ownership.Owned owned) {
    Release release = ofJob(owned.id().jobId()).get(owned.id().index());
    return release != null && release.owned().attempt().equals(owned.attempt()) ? release : null;
  }

  boolean has(Ownership.Owned owned) {
    return of(owned) != null;
  }

  /** By task number, in order. */
  Map<Integer, Release> ofJob(String id) {
    return byJob.getOrDefault(id, Map.of());
  }

  Set<String> jobs() {
    return Collections.unmodifiableSet(byJob.keySet());
  }

  static int countDone(Collection<Release> releases) {
    int count = 0;
    for (Release release : releases) {
      count += release.done() ? 1 : 0;
    }
    return count;
  }

  /** The records have it now, or the task is another attempt's. */
  void drop(Ownership.Owned owned) {
    if (has(owned)) {
      Map<Integer, Release> releases = byJob.get(owned.id().jobId());
      releases.remove(owned.id().index());
      if (releases.isEmpty()) {
        byJob.remove(owned.id().jobId());
      }
    }
  }

  void clear() {
    byJob.clear();
  }
}
