package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMaps;

/**
 * A job with its committed progress, as one object that follows the records: only the index of the
 * copy that it belongs to changes it.
 */
public final class JobRecord {

  /**
   * A progress record.
   *
   * @param version the version that the next change of it has as its condition, 0 if the record has
   *     no key
   */
  public record VersionedShard(Shard shard, long version) {
    /** A record that is not there. */
    static final VersionedShard ABSENT = new VersionedShard(Shard.EMPTY, 0);
  }

  private final Job job;
  private final int tasksPerShard;
  private final Int2ObjectSortedMap<VersionedShard> shards = new Int2ObjectAVLTreeMap<>();
  private Outcome outcome;
  private int doneCount;
  private int ownedCount;

  /** Null until counted for the present records. */
  private FailureCounts failureCounts;

  JobRecord(Job job, int tasksPerShard) {
    this.job = job;
    this.tasksPerShard = tasksPerShard;
  }

  /** A job of a rebuild. Its progress records have no keys of their own yet. */
  static JobRecord fromSnapshot(RecordsSnapshot.JobSnapshot source) {
    JobRecord result = new JobRecord(source.job(), source.tasksPerShard());
    source.shards().forEach((index, shard) -> result.setShard(index, new VersionedShard(shard, 0)));
    result.setOutcome(source.outcome());
    return result;
  }

  /** The job as it was submitted. */
  public Job job() {
    return job;
  }

  /** How the job ended, or null while it has not. */
  public Outcome outcome() {
    return outcome;
  }

  /** How many tasks one progress record covers. */
  public int tasksPerShard() {
    return tasksPerShard;
  }

  /** How many progress records the job can have. */
  public int shardCount() {
    return (job.taskCount() + tasksPerShard - 1) / tasksPerShard;
  }

  /** The index of the progress record that covers a task. */
  public int shardIndexOf(int taskIndex) {
    return taskIndex / tasksPerShard;
  }

  /** The index of the first task of a shard. */
  public int firstTask(int shardIndex) {
    return shardIndex * tasksPerShard;
  }

  /** The index after that of the last task of a shard. */
  public int endTask(int shardIndex) {
    return Math.min(job.taskCount(), (shardIndex + 1) * tasksPerShard);
  }

  /** The progress record, an empty one of version 0 if there is none. */
  public VersionedShard shard(int index) {
    return shards.getOrDefault(index, VersionedShard.ABSENT);
  }

  /** The progress records that exist, by their indexes; an unmodifiable view. */
  public Int2ObjectSortedMap<VersionedShard> shards() {
    return Int2ObjectSortedMaps.unmodifiable(shards);
  }

  /** How many tasks are done. Costs nothing: every round and every poll asks. */
  public int doneCount() {
    return outcome == Outcome.DONE ? job.taskCount() : doneCount;
  }

  /** How many tasks a machine owns; none of a completed job, whatever its records still hold. */
  public int ownedCount() {
    return outcome == Outcome.DONE ? 0 : ownedCount;
  }

  /**
   * Counts over the tasks that were attempted and are not done.
   *
   * @param failedTasks those of them that have failed at least once
   * @param totalFailures all failures of all of them
   */
  public record FailureCounts(
      int attemptedTasks, int failedTasks, int totalFailures, int maxFailuresOfOneTask) {}

  /** The failures so far. Counted once for each change, since polls may be far more frequent. */
  public FailureCounts failureCounts() {
    if (failureCounts == null) {
      int attempted = 0;
      int failed = 0;
      int total = 0;
      int max = 0;
      for (VersionedShard record : shards.values()) {
        for (Shard.History history : record.shard().histories().values()) {
          attempted++;
          failed += history.failures() > 0 ? 1 : 0;
          total += history.failures();
          max = Math.max(max, history.failures());
        }
      }
      failureCounts = new FailureCounts(attempted, failed, total, max);
    }
    return failureCounts;
  }

  /**
   * How many tasks are reported to the job's user as failing: those with at least so many failures.
   * If no task is done and all together have failed that often, all that failed.
   */
  public int failingTaskCount(int minFailures) {
    FailureCounts counts = failureCounts();
    if (outcome != null || counts.totalFailures < minFailures) {
      return 0;
    }
    if (doneCount() == 0 && counts.failedTasks >= counts.attemptedTasks - ownedCount) {
      return counts.failedTasks;
    }
    int count = 0;
    if (counts.maxFailuresOfOneTask >= minFailures) {
      for (VersionedShard record : shards.values()) {
        for (Shard.History history : record.shard().histories().values()) {
          count += history.failures() >= minFailures ? 1 : 0;
        }
      }
    }
    return count;
  }

  void setOutcome(Outcome value) {
    outcome = value;
  }

  /**
   * Replaces a progress record, or with null removes it.
   *
   * @return the former progress, {@link Shard#EMPTY} if there was no record
   */
  Shard setShard(int index, VersionedShard record) {
    VersionedShard former = record == null ? shards.remove(index) : shards.put(index, record);
    Shard before = former == null ? Shard.EMPTY : former.shard();
    Shard after = record == null ? Shard.EMPTY : record.shard();
    doneCount += after.doneCount() - before.doneCount();
    ownedCount += after.ownedAttempts().size() - before.ownedAttempts().size();
    failureCounts = null;
    return before;
  }
}
