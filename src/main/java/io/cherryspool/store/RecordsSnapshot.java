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
 * All records that must outlive a loss, at one point of the history. Immutable: taking one costs
 * nothing, and the next one shares what has not changed.
 *
 * @param nonce of the incarnation that it is of
 * @param term the highest term known to have begun
 * @param catalog the machine types as some leader recorded them, null if none did
 */
public record RecordsSnapshot(
    String cluster,
    String nonce,
    Incarnation.HistoryPosition position,
    long term,
    JsonNode catalog,
    PMap<String, JobSnapshot> jobs) {

  /** What a node knows that remembers nothing. */
  public static final RecordsSnapshot EMPTY =
      new RecordsSnapshot("", "", Incarnation.HistoryPosition.NONE, 0, null, HashTreePMap.empty());

  /**
   * A job with its progress.
   *
   * @param outcome how it ended, null while it has not
   * @param shards its progress records by their index
   */
  public record JobSnapshot(
      Job job, int tasksPerShard, Outcome outcome, PSortedMap<Integer, Shard> shards) {

    /** One that was accepted and of which nothing else is known. */
    public static JobSnapshot accepted(Job job, int tasksPerShard) {
      return new JobSnapshot(job, tasksPerShard, null, TreePMap.empty());
    }

    JobSnapshot withShard(int index, Shard shard) {
      return new JobSnapshot(job, tasksPerShard, outcome, shards.plus(index, shard));
    }

    /** The same job with this end. */
    public JobSnapshot withOutcome(Outcome end) {
      return new JobSnapshot(job, tasksPerShard, end, shards);
    }

    static JobSnapshot copyOf(JobRecord entry) {
      PSortedMap<Integer, Shard> shards = TreePMap.empty();
      // What the records of a job that is done still hold is only waiting to be cleared. Tasks of a
      // cancelled one may run on, and count against their team.
      if (entry.outcome() != Outcome.DONE) {
        for (var item : entry.shards().int2ObjectEntrySet()) {
          shards = shards.plus(item.getIntKey(), item.getValue().shard());
        }
      }
      return new JobSnapshot(entry.job(), entry.tasksPerShard(), entry.outcome(), shards);
    }
  }

  /** The same records with other jobs. */
  public RecordsSnapshot withJobs(PMap<String, JobSnapshot> others) {
    return new RecordsSnapshot(cluster, nonce, position, term, catalog, others);
  }

  /** The same records at a term at least as high. */
  public RecordsSnapshot withTermAtLeast(long atLeast) {
    return new RecordsSnapshot(cluster, nonce, position, Math.max(term, atLeast), catalog, jobs);
  }
}
