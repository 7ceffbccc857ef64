package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMaps;

/** A job with its committed progress. Only the replica changes it; everyone else reads. */
public final class JobRecord {

  /** A progress record and the version that the next change of it must name. */
  public record VersionedShard(Shard shard, long version) {
    static final VersionedShard ABSENT = new VersionedShard(Shard.EMPTY, 0);
  }

  private final Job job;
  private final int tasksPerShard;
  private final Int2ObjectSortedMap<VersionedShard> shards = new Int2ObjectAVLTreeMap<>();
  private Outcome outcome;
  private int done;
  private int owned;
  private FailureCounts failureCounts;

  JobRecord(Job job, int tasksPerShard) {
    this.job = job;
    this.tasksPerShard = tasksPerShard;
  }

  /** A job from a rebuilt picture. Its progress records have no keys of their own yet. */
  static JobRecord fromSnapshot(RecordsSnapshot.JobSnapshot known) {
    JobRecord entry = new JobRecord(known.job(), known.tasksPerShard());
    known.shards().forEach((index, shard) -> entry.setShard(index, new VersionedShard(shard, 0)));
    entry.setOutcome(known.outcome());
    return entry;
  }

  public Job job() {
    return job;
  }

  /** How the job ended, or null while it has not. */
  public Outcome outcome() {
    return outcome;
  }

  public int tasksPerShard() {
    return tasksPerShard;
  }

  public int shardCount() {
    return (job.taskCount() + tasksPerShard - 1) / tasksPerShard;
  }

  public int shardIndexOf(int task) {
    return task / tasksPerShard;
  }

  /** The first task of a shard. */
  public int firstTask(int shard) {
    return shard * tasksPerShard;
  }

  /** The task after the last one of a shard. */
  public int endTask(int shard) {
    return Math.min(job.taskCount(), (shard + 1) * tasksPerShard);
  }

  public VersionedShard shard(int index) {
    return shards.getOrDefault(index, VersionedShard.ABSENT);
  }

  /** The shards that have a record. */
  public Int2ObjectSortedMap<VersionedShard> shards() {
    return Int2ObjectSortedMaps.unmodifiable(shards);
  }

  /** How many tasks are done; kept as the records change, since every round and poll asks. */
  public int doneCount() {
    return outcome == Outcome.DONE ? job.taskCount() : done;
  }

  /** How many tasks have an owner; a job that is done has none, whatever its records still hold. */
  public int ownedCount() {
    return outcome == Outcome.DONE ? 0 : owned;
  }

  /**
   * The tasks that were tried and are not done, those of them that failed, and all their failures.
   */
  public record FailureCounts(
      int attemptedTasks, int failedTasks, int totalFailures, int maxFailuresOfOneTask) {}

  /** Counted once for each change: with a storm of questions, polls are many times as frequent. */
  public FailureCounts failureCounts() {
    if (failureCounts == null) {
      int tried = 0;
      int tasks = 0;
      int all = 0;
      int most = 0;
      for (VersionedShard item : shards.values()) {
        for (Shard.History history : item.shard().histories().values()) {
          tried++;
          tasks += history.failures() > 0 ? 1 : 0;
          all += history.failures();
          most = Math.max(most, history.failures());
        }
      }
      failureCounts = new FailureCounts(tried, tasks, all, most);
    }
    return failureCounts;
  }

  /**
   * How many tasks the job's user is to hear of as failing: those past the cap, or, where nothing
   * was ever done and the tries together have failed that often, all that failed.
   */
  public int failingTaskCount(int cap) {
    FailureCounts known = failureCounts();
    if (outcome != null || known.totalFailures < cap) {
      return 0;
    }
    if (doneCount() == 0 && known.failedTasks >= known.attemptedTasks - owned) {
      return known.failedTasks;
    }
    int count = 0;
    if (known.maxFailuresOfOneTask >= cap) {
      for (VersionedShard item : shards.values()) {
        for (Shard.History history : item.shard().histories().values()) {
          count += history.failures() >= cap ? 1 : 0;
        }
      }
    }
    return count;
  }

  void setOutcome(Outcome value) {
    outcome = value;
  }

  /** Replaces a shard's record and returns what it was before. */
  Shard setShard(int index, VersionedShard value) {
    VersionedShard before = value == null ? shards.remove(index) : shards.put(index, value);
    Shard old = before == null ? Shard.EMPTY : before.shard();
    Shard now = value == null ? Shard.EMPTY : value.shard();
    done += now.doneCount() - old.doneCount();
    owned += now.ownedAttempts().size() - old.ownedAttempts().size();
    failureCounts = null;
    return old;
  }
}
