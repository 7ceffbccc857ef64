package io.cherryspool.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.model.Job;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * An immutable copy of all records that have to outlive a loss, at one revision. Snapshots taken
 * one after the other share what has not changed.
 *
 * @param cluster empty if unknown
 * @param nonce that of the incarnation whose records it holds
 * @param position the incarnation and its revision
 * @param term the highest term known to have begun
 * @param catalog the record of the machine types, null if no leader wrote it
 * @param jobs all jobs by their ids
 */
public record RecordsSnapshot(
    String cluster,
    String nonce,
    Incarnation.HistoryPosition position,
    long term,
    JsonNode catalog,
    PMap<String, JobSnapshot> jobs) {

  /** That of a node that retains no records. */
  public static final RecordsSnapshot EMPTY =
      new RecordsSnapshot("", "", Incarnation.HistoryPosition.NONE, 0, null, HashTreePMap.empty());

  /**
   * A job with its progress.
   *
   * @param tasksPerShard how many tasks one progress record covers
   * @param outcome how it ended, null while it has not
   * @param shards its progress records by their indexes
   */
  public record JobSnapshot(
      Job job, int tasksPerShard, Outcome outcome, PSortedMap<Integer, Shard> shards) {

    /** A job that was accepted, without progress. */
    public static JobSnapshot accepted(Job job, int tasksPerShard) {
      return new JobSnapshot(job, tasksPerShard, null, TreePMap.empty());
    }

    /** The same job with this progress record in place of the one with the same index. */
    JobSnapshot withShard(int index, Shard shard) {
      return new JobSnapshot(job, tasksPerShard, outcome, shards.plus(index, shard));
    }

    /** The same job with this outcome, or with null without one. */
    public JobSnapshot withOutcome(Outcome newOutcome) {
      return new JobSnapshot(job, tasksPerShard, newOutcome, shards);
    }

    /** The present state of a job. */
    static JobSnapshot copyOf(JobRecord source) {
      PSortedMap<Integer, Shard> shards = TreePMap.empty();
      // The progress records of a completed job are only waiting to be deleted. Tasks of a
      // cancelled one may still run, and count towards its team's quota.
      if (source.outcome() != Outcome.DONE) {
        for (var item : source.shards().int2ObjectEntrySet()) {
          shards = shards.plus(item.getIntKey(), item.getValue().shard());
        }
      }
      return new JobSnapshot(source.job(), source.tasksPerShard(), source.outcome(), shards);
    }
  }

  /** The same snapshot with other jobs. */
  public RecordsSnapshot withJobs(PMap<String, JobSnapshot> others) {
    return new RecordsSnapshot(cluster, nonce, position, term, catalog, others);
  }

  /** The same snapshot with the higher of both terms. */
  public RecordsSnapshot withTermAtLeast(long minTerm) {
    return new RecordsSnapshot(cluster, nonce, position, Math.max(term, minTerm), catalog, jobs);
  }
}
