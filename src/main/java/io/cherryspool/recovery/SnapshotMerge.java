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
 * Joins what several sources know into one snapshot. For each task the latest state wins: by the
 * number of its last attempt, an attempt that has ended over the same one still owned, and done
 * over everything; for each job an outcome over none, and done over cancelled. The join is
 * commutative, associative and idempotent, so that neither the order of sources nor reading one
 * twice matters. Pure functions, for any thread.
 */
public final class SnapshotMerge {
  /**
   * Two attempts of one number come only from a leader that had lost its records; the later fencing
   * token wins.
   */
  private static final Comparator<Attempt> BY_TOKEN =
      Comparator.comparingLong(Attempt::fencingToken)
          .thenComparing(Attempt::machine)
          .thenComparingLong(Attempt::agentEpoch);

  /** Jobs described twice differ only by a user's mistake; any fixed order will do. */
  private static final Comparator<Job> BY_DESCRIPTION =
      Comparator.comparing(Job::submittedAt).thenComparing(Job::toString);

  private SnapshotMerge() {}

  /**
   * Both together, at the later position of the two. The map of jobs is that of the snapshot at the
   * later position itself where the other one adds nothing to it; between equal positions, that of
   * the first one.
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

  /** Both together; the first job itself where the second adds nothing to it. */
  static JobSnapshot merge(JobSnapshot one, JobSnapshot other) {
    JobSnapshot base = BY_DESCRIPTION.compare(one.job(), other.job()) <= 0 ? one : other;
    if (base.tasksPerShard() != one.tasksPerShard()
        || base.tasksPerShard() != other.tasksPerShard()) {
      return merge(resharded(one, base), resharded(other, base));
    }
    Outcome outcome = latest(one.outcome(), other.outcome());
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

  private static Outcome latest(Outcome one, Outcome other) {
    if (one == Outcome.DONE || other == Outcome.DONE) {
      return Outcome.DONE;
    }
    return one == null ? other : one;
  }

  /** The job with as many tasks in each shard as the base has. */
  private static JobSnapshot resharded(JobSnapshot from, JobSnapshot base) {
    int tasksPerShard = base.tasksPerShard();
    Map<Integer, Shard.Editor> editors = new TreeMap<>();
    for (Shard shard : from.shards().values()) {
      for (int task = shard.nextDone(0); task >= 0; task = shard.nextDone(task + 1)) {
        editor(editors, task / tasksPerShard).markDone(task, task);
      }
      shard
          .ownedAttempts()
          .values()
          .forEach(item -> editor(editors, item.taskIndex() / tasksPerShard).putOwnedAttempt(item));
      shard
          .histories()
          .int2ObjectEntrySet()
          .forEach(
              item ->
                  editor(editors, item.getIntKey() / tasksPerShard)
                      .putHistory(item.getIntKey(), item.getValue()));
    }
    PSortedMap<Integer, Shard> shards = TreePMap.empty();
    for (Map.Entry<Integer, Shard.Editor> item : editors.entrySet()) {
      shards = shards.plus(item.getKey(), item.getValue().build());
    }
    return new JobSnapshot(base.job(), tasksPerShard, from.outcome(), shards);
  }

  private static Shard.Editor editor(Map<Integer, Shard.Editor> editors, int index) {
    return editors.computeIfAbsent(index, key -> Shard.EMPTY.edit());
  }

  /** Both together; the first shard itself where the second adds nothing to it. */
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

  /** Whether the second shard adds to what the first one tells of the task. */
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

  /** The attempt that owns the task by the latest of the two, null if none does. */
  private static Attempt latestOwner(int task, Shard one, Shard other) {
    Attempt owner = one.ownedAttempt(task);
    Attempt otherOwner = other.ownedAttempt(task);
    int attempts = one.history(task).attempts();
    int otherAttempts = other.history(task).attempts();
    if (attempts != otherAttempts) {
      return attempts > otherAttempts ? owner : otherOwner;
    }
    if (owner == null || otherOwner == null) {
      // The attempt has ended in one of the two, which is later than its being owned.
      return null;
    }
    return BY_TOKEN.compare(owner, otherOwner) >= 0 ? owner : otherOwner;
  }
}
