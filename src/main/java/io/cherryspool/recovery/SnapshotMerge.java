package io.cherryspool.recovery;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RecordsSnapshot.JobSnapshot;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Merges snapshots from several sources into one. For each task, the latest state wins: the higher
 * attempt number, an attempt that has ended over the same attempt that is still owned, and done
 * over everything else. For each job, an outcome wins over none, and done over cancelled. Merging
 * is commutative, associative and idempotent, so neither the order of the sources nor a repeated
 * source changes the result. All methods are pure functions and may be called from any thread.
 */
public final class SnapshotMerge {
  /**
   * Orders attempts with the same number, which occur only after a leader has lost its records. The
   * higher fencing token wins.
   */
  private static final Comparator<Attempt> BY_FENCING_TOKEN =
      Comparator.comparingLong(Attempt::fencingToken)
          .thenComparing(Attempt::machine)
          .thenComparingLong(Attempt::agentEpoch);

  /**
   * Orders two descriptions of the same job. They differ only if a user made a mistake, so any
   * fixed order is sufficient.
   */
  private static final Comparator<Job> BY_SUBMISSION =
      Comparator.comparing(Job::submittedAt).thenComparing(Job::toString);

  private SnapshotMerge() {}

  /**
   * Merges two snapshots. The result has the later of the two positions. If the snapshot with the
   * later position (or the first one if the positions are equal) already contains everything, the
   * result has the same instance of its map of jobs.
   */
  public static RecordsSnapshot merge(RecordsSnapshot one, RecordsSnapshot other) {
    boolean isOtherLater = other.position().compareTo(one.position()) > 0;
    RecordsSnapshot first = isOtherLater ? other : one;
    RecordsSnapshot second = isOtherLater ? one : other;
    PMap<String, JobSnapshot> jobs = first.jobs();
    for (Map.Entry<String, JobSnapshot> item : second.jobs().entrySet()) {
      JobSnapshot known = jobs.get(item.getKey());
      JobSnapshot merged = known == null ? item.getValue() : merge(known, item.getValue());
      if (merged != known) {
        jobs = jobs.plus(item.getKey(), merged);
      }
    }
    return new RecordsSnapshot(
        first.cluster().isEmpty() ? second.cluster() : first.cluster(),
        first.nonce(),
        first.position(),
        Math.max(first.term(), second.term()),
        first.catalog() == null ? second.catalog() : first.catalog(),
        jobs);
  }

  /** Merges two snapshots of a job. Returns the first instance if the second one adds nothing. */
  static JobSnapshot merge(JobSnapshot one, JobSnapshot other) {
    JobSnapshot base = BY_SUBMISSION.compare(one.job(), other.job()) <= 0 ? one : other;
    if (base.tasksPerShard() != one.tasksPerShard()
        || base.tasksPerShard() != other.tasksPerShard()) {
      return merge(reshard(one, base), reshard(other, base));
    }
    Outcome outcome = latestOutcome(one.outcome(), other.outcome());
    PSortedMap<Integer, Shard> shards = mergeShards(one.shards(), other.shards());
    boolean isUnchanged = base == one && outcome == one.outcome() && shards == one.shards();
    return isUnchanged ? one : new JobSnapshot(base.job(), base.tasksPerShard(), outcome, shards);
  }

  private static PSortedMap<Integer, Shard> mergeShards(
      PSortedMap<Integer, Shard> one, PSortedMap<Integer, Shard> other) {
    PSortedMap<Integer, Shard> shards = one;
    for (Map.Entry<Integer, Shard> item : other.entrySet()) {
      Shard known = shards.get(item.getKey());
      Shard merged = known == null ? item.getValue() : merge(known, item.getValue());
      if (merged != known) {
        shards = shards.plus(item.getKey(), merged);
      }
    }
    return shards;
  }

  private static Outcome latestOutcome(Outcome one, Outcome other) {
    if (one == Outcome.DONE || other == Outcome.DONE) {
      return Outcome.DONE;
    }
    return one == null ? other : one;
  }

  /**
   * Returns the job with its progress divided into shards of the same size as those of {@code
   * base}.
   */
  private static JobSnapshot reshard(JobSnapshot from, JobSnapshot base) {
    int tasksPerShard = base.tasksPerShard();
    Map<Integer, Shard.Editor> editors = new TreeMap<>();
    for (Shard shard : from.shards().values()) {
      for (int task = shard.nextDone(0); task >= 0; task = shard.nextDone(task + 1)) {
        editorOf(editors, task / tasksPerShard).markDone(task, task);
      }
      shard
          .ownedAttempts()
          .values()
          .forEach(
              item -> editorOf(editors, item.taskIndex() / tasksPerShard).putOwnedAttempt(item));
      shard
          .histories()
          .int2ObjectEntrySet()
          .forEach(
              item ->
                  editorOf(editors, item.getIntKey() / tasksPerShard)
                      .putHistory(item.getIntKey(), item.getValue()));
    }
    PSortedMap<Integer, Shard> shards = TreePMap.empty();
    for (Map.Entry<Integer, Shard.Editor> item : editors.entrySet()) {
      shards = shards.plus(item.getKey(), item.getValue().build());
    }
    return new JobSnapshot(base.job(), tasksPerShard, from.outcome(), shards);
  }

  private static Shard.Editor editorOf(Map<Integer, Shard.Editor> editors, int index) {
    return editors.computeIfAbsent(index, key -> Shard.EMPTY.edit());
  }

  /** Merges two shards. Returns the first instance if the second one adds nothing. */
  static Shard merge(Shard one, Shard other) {
    Shard.Editor editor = one.edit();
    boolean isChanged = false;
    for (int task = other.nextDone(0); task >= 0; task = other.nextDone(task + 1)) {
      if (!one.isDone(task)) {
        editor.complete(task);
        isChanged = true;
      }
    }
    for (int task : other.histories().keySet()) {
      if (!one.isDone(task) && !other.isDone(task)) {
        isChanged |= mergeTask(task, one, other, editor);
      }
    }
    return isChanged ? editor.build() : one;
  }

  /**
   * Merges the state of a task into the editor. Returns whether the second shard adds anything to
   * the first one.
   */
  private static boolean mergeTask(int task, Shard one, Shard other, Shard.Editor editor) {
    Shard.History known = one.history(task);
    Attempt owner = one.ownedAttempt(task);
    Attempt merged = latestOwner(task, one, other);
    Shard.History history =
        new Shard.History(
            Math.max(known.attempts(), other.history(task).attempts()),
            Math.max(known.failures(), other.history(task).failures()));
    if (merged == owner && history.equals(known)) {
      return false;
    }
    editor.release(task, false);
    editor.putHistory(task, history);
    if (merged != null) {
      editor.putOwnedAttempt(merged);
    }
    return true;
  }

  /**
   * Returns the attempt that owns the task according to the later of the two states, null if there
   * is none.
   */
  private static Attempt latestOwner(int task, Shard one, Shard other) {
    Attempt owner = one.ownedAttempt(task);
    Attempt otherOwner = other.ownedAttempt(task);
    int attempts = one.history(task).attempts();
    int otherAttempts = other.history(task).attempts();
    if (attempts != otherAttempts) {
      return attempts > otherAttempts ? owner : otherOwner;
    }
    if (owner == null || otherOwner == null) {
      // In one of the two states the attempt has ended. That state is later than the one in which
      // it is still owned.
      return null;
    }
    return BY_FENCING_TOKEN.compare(owner, otherOwner) >= 0 ? owner : otherOwner;
  }
}
