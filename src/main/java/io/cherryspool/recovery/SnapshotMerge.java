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
 * Joins what several sources know into one picture. For each task the furthest state wins: by the
 * number of its last attempt, an attempt that has ended over the same one still owned, and done
 * over everything; for each job an end over none, and done over cancelled. The join is commutative,
 * associative and idempotent, so that neither the order of sources nor reading one twice matters.
 */
public final class SnapshotMerge {
  /** Two attempts of one number come only from a leader without memory; the later token wins. */
  private static final Comparator<Attempt> BY_TOKEN =
      Comparator.comparingLong(Attempt::fencingToken)
          .thenComparing(Attempt::machine)
          .thenComparingLong(Attempt::agentEpoch);

  /** Jobs described twice differ only by a user's mistake; any fixed order will do. */
  private static final Comparator<Job> BY_DESCRIPTION =
      Comparator.comparing(Job::submittedAt).thenComparing(Job::toString);

  private SnapshotMerge() {}

  /** Both together; the first one's cluster and origin where they differ in nothing else. */
  public static RecordsSnapshot merge(RecordsSnapshot one, RecordsSnapshot other) {
    boolean newer = other.position().compareTo(one.position()) > 0;
    RecordsSnapshot first = newer ? other : one;
    RecordsSnapshot second = newer ? one : other;
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

  /** The first job itself where the second adds nothing to it. */
  static JobSnapshot merge(JobSnapshot one, JobSnapshot other) {
    JobSnapshot base = BY_DESCRIPTION.compare(one.job(), other.job()) <= 0 ? one : other;
    Outcome outcome = latest(one.outcome(), other.outcome());
    if (base.tasksPerShard() != one.tasksPerShard()
        || base.tasksPerShard() != other.tasksPerShard()) {
      int size = base.tasksPerShard();
      return merge(resharded(one, base, size), resharded(other, base, size));
    }
    PSortedMap<Integer, Shard> shards = one.shards();
    for (Map.Entry<Integer, Shard> item : other.shards().entrySet()) {
      Shard known = shards.get(item.getKey());
      Shard merged = known == null ? item.getValue() : merge(known, item.getValue());
      if (merged != known) {
        shards = shards.plus(item.getKey(), merged);
      }
    }
    boolean same = base == one && outcome == one.outcome() && shards == one.shards();
    return same ? one : new JobSnapshot(base.job(), base.tasksPerShard(), outcome, shards);
  }

  private static Outcome latest(Outcome one, Outcome other) {
    if (one == Outcome.DONE || other == Outcome.DONE) {
      return Outcome.DONE;
    }
    return one == null ? other : one;
  }

  private static JobSnapshot resharded(JobSnapshot from, JobSnapshot base, int size) {
    Map<Integer, Shard.Editor> editors = new TreeMap<>();
    for (Shard shard : from.shards().values()) {
      for (int task = shard.nextDone(0); task >= 0; task = shard.nextDone(task + 1)) {
        editor(editors, task / size).markDone(task, task);
      }
      shard
          .ownedAttempts()
          .values()
          .forEach(item -> editor(editors, item.taskIndex() / size).putOwnedAttempt(item));
      shard
          .histories()
          .int2ObjectEntrySet()
          .forEach(
              item ->
                  editor(editors, item.getIntKey() / size)
                      .putHistory(item.getIntKey(), item.getValue()));
    }
    PSortedMap<Integer, Shard> shards = TreePMap.empty();
    for (Map.Entry<Integer, Shard.Editor> item : editors.entrySet()) {
      shards = shards.plus(item.getKey(), item.getValue().build());
    }
    return new JobSnapshot(base.job(), size, from.outcome(), shards);
  }

  private static Shard.Editor editor(Map<Integer, Shard.Editor> editors, int index) {
    return editors.computeIfAbsent(index, key -> Shard.EMPTY.edit());
  }

  /** The first shard itself where the second adds nothing to it. */
  static Shard merge(Shard one, Shard other) {
    Shard.Editor editor = one.edit();
    boolean changed = false;
    for (int task = other.nextDone(0); task >= 0; task = other.nextDone(task + 1)) {
      if (!one.isDone(task)) {
        editor.complete(task);
        changed = true;
      }
    }
    for (int task : other.histories().keySet()) {
      if (!one.isDone(task) && !other.isDone(task)) {
        changed |= mergeTask(task, one, other, editor);
      }
    }
    return changed ? editor.build() : one;
  }

  private static boolean mergeTask(int task, Shard one, Shard other, Shard.Editor editor) {
    Shard.History mine = one.history(task);
    Shard.History theirs = other.history(task);
    Attempt owner = one.ownedAttempt(task);
    Attempt otherOwner = other.ownedAttempt(task);
    Attempt merged;
    if (mine.attempts() != theirs.attempts()) {
      merged = mine.attempts() > theirs.attempts() ? owner : otherOwner;
    } else if (owner == null || otherOwner == null) {
      // The attempt has ended in one of the two, which is later than its being owned.
      merged = null;
    } else {
      merged = BY_TOKEN.compare(owner, otherOwner) >= 0 ? owner : otherOwner;
    }
    Shard.History history =
        new Shard.History(
            Math.max(mine.attempts(), theirs.attempts()),
            Math.max(mine.failures(), theirs.failures()));
    if (merged == owner && history.equals(mine)) {
      return false;
    }
    editor.release(task, false);
    editor.putHistory(task, history);
    if (merged != null) {
      editor.putOwnedAttempt(merged);
    }
    return true;
  }
}
