package io.cherryspool.store;

import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMaps;

/**
 * A job with its committed progress. The object is updated as the records change, only by the index
 * that it belongs to.
 */
public final class JobRecord {

  /**
   * A progress record with its version.
   *
   * @param version the version that the next change of the record must have as its condition. It is
   *     0 if the record has no key of its own in the state store.
   */
  public record VersionedShard(Shard shard, long version) {
    /** Represents a record that does not exist. */
    static final VersionedShard ABSENT = new VersionedShard(Shard.EMPTY, 0);
  }

  private final Job job;
  private final int tasksPerShard;
  private final Int2ObjectSortedMap<VersionedShard> shards = new Int2ObjectAVLTreeMap<>();
  private Outcome outcome;
  private int doneCount;
  private int ownedCount;

  /** The cached counts; null if they must be counted again. */
  private FailureCounts failureCounts;

  JobRecord(Job job, int tasksPerShard) {
    this.job = job;
    this.tasksPerShard = tasksPerShard;
  }

  /**
   * Creates the record of a job that a rebuild restored. Its progress records are in bundles and
   * have no keys of their own yet.
   */
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

  /** The outcome of the job, or null if it has not ended. */
  public Outcome outcome() {
    return outcome;
  }

  /** The number of tasks that one progress record covers. */
  public int tasksPerShard() {
    return tasksPerShard;
  }

  /** The maximum number of progress records of the job. */
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

  /** The index of the last task of a shard plus one. */
  public int endTask(int shardIndex) {
    return Math.min(job.taskCount(), (shardIndex + 1) * tasksPerShard);
  }

  /** The progress record with this index, or an empty one with version 0 if there is none. */
  public VersionedShard shard(int index) {
    return shards.getOrDefault(index, VersionedShard.ABSENT);
  }

  /** The existing progress records by their indexes, as an unmodifiable view. */
  public Int2ObjectSortedMap<VersionedShard> shards() {
    return Int2ObjectSortedMaps.unmodifiable(shards);
  }

  /**
   * The number of tasks that are done. It is precomputed, because it is read in every scheduling
   * round and by every poll of a user.
   */
  public int doneCount() {
    return outcome == Outcome.DONE ? job.taskCount() : doneCount;
  }

  /**
   * The number of tasks that are owned by machines. It is 0 for a completed job, even if its
   * progress records still contain owners.
   */
  public int ownedCount() {
    return outcome == Outcome.DONE ? 0 : ownedCount;
  }

  /**
   * Failure counts of the tasks that were attempted and are not done.
   *
   * @param attemptedTasks the number of these tasks
   * @param failedTasks the number of these tasks that have failed at least once
   * @param totalFailures the number of failures of all these tasks
   * @param maxFailuresOfOneTask the highest number of failures of any one task
   */
  public record FailureCounts(
      int attemptedTasks, int failedTasks, int totalFailures, int maxFailuresOfOneTask) {}

  /**
   * Returns the failure counts. They are counted once after each change and cached, because polls
   * may be far more frequent than changes.
   */
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
   * Returns the number of tasks that are reported to the job's user as failing: the tasks with at
   * least {@code minFailures} failures. If no task is done and all tasks together have at least
   * {@code minFailures} failures, every failed task counts, provided that the failed tasks are at
   * least as many as the attempted tasks without an owner. Returns 0 for a job that has ended.
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
   * Replaces a progress record. Null removes the record.
   *
   * @return the previous progress, {@link Shard#EMPTY} if there was no record
   */
  Shard setShard(int index, VersionedShard record) {
    VersionedShard previous = record == null ? shards.remove(index) : shards.put(index, record);
    Shard before = previous == null ? Shard.EMPTY : previous.shard();
    Shard after = record == null ? Shard.EMPTY : record.shard();
    doneCount += after.doneCount() - before.doneCount();
    ownedCount += after.ownedAttempts().size() - before.ownedAttempts().size();
    failureCounts = null;
    return before;
  }
}
