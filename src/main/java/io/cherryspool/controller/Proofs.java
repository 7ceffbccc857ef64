package io.cherryspool.controller;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What is proved of owned tasks and not yet in the records. A proof stays true, so it may wait and
 * share a write with others of its job: the room and the allowance that it frees count at once. A
 * leader that ends before the write takes nothing with it, since workers repeat an exited task
 * until they are told to forget it, and a task started again after it was done exits as done.
 */
final class Proofs {

  /** That the attempt has ended, how, and when this leader learnt it. */
  record Proof(Ownership.Owned owned, ReleaseEvidence.Verdict verdict, Duration at) {
    boolean done() {
      return verdict == ReleaseEvidence.Verdict.DONE;
    }

    boolean failed() {
      return verdict == ReleaseEvidence.Verdict.FAILED || verdict == ReleaseEvidence.Verdict.LAPSED;
    }
  }

  private final Map<String, Map<Integer, Proof>> byJob = new LinkedHashMap<>();

  void add(Proof proof) {
    byJob
        .computeIfAbsent(proof.owned().id().job(), key -> new TreeMap<>())
        .put(proof.owned().id().number(), proof);
  }

  /** The proof that this attempt ended, or null. */
  Proof of(Ownership.Owned owned) {
    Proof proof = ofJob(owned.id().job()).get(owned.id().number());
    return proof != null && proof.owned().attempt().equals(owned.attempt()) ? proof : null;
  }

  boolean has(Ownership.Owned owned) {
    return of(owned) != null;
  }

  /** By task number, in order. */
  Map<Integer, Proof> ofJob(String id) {
    return byJob.getOrDefault(id, Map.of());
  }

  Set<String> jobs() {
    return Collections.unmodifiableSet(byJob.keySet());
  }

  static int done(Collection<Proof> proofs) {
    int count = 0;
    for (Proof proof : proofs) {
      count += proof.done() ? 1 : 0;
    }
    return count;
  }

  /** The records have it now, or the task is another attempt's. */
  void drop(Ownership.Owned owned) {
    if (has(owned)) {
      Map<Integer, Proof> proofs = byJob.get(owned.id().job());
      proofs.remove(owned.id().number());
      if (proofs.isEmpty()) {
        byJob.remove(owned.id().job());
      }
    }
  }

  void clear() {
    byJob.clear();
  }
}
