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
 * An immutable copy, at one revision, of all records that must survive a data loss. Successive
 * snapshots share the jobs that have not changed.
 *
 * @param cluster the cluster's id, empty if unknown
 * @param nonce the nonce of the incarnation that the records belong to
 * @param position the incarnation and the revision that the records belong to
 * @param term the highest term that is known to have begun
 * @param catalog the record of the machine types, null if no leader has written it
 * @param jobs all jobs by their ids
 */
public record RecordsSnapshot(
    String cluster,
    String nonce,
    Incarnation.HistoryPosition position,
    long term,
    JsonNode catalog,
    PMap<String, JobSnapshot> jobs) {

  /** The snapshot of a node that retains no records. */
  public static final RecordsSnapshot EMPTY =
      new RecordsSnapshot("", "", Incarnation.HistoryPosition.NONE, 0, null, HashTreePMap.empty());

  /**
   * A job with its progress.
   *
   * @param tasksPerShard the number of tasks that one progress record covers
   * @param outcome the job's outcome, null if it has not ended
   * @param shards the progress records by their indexes
   */
  public record JobSnapshot(
      Job job, int tasksPerShard, Outcome outcome, PSortedMap<Integer, Shard> shards) {

    /** Creates the snapshot of a job that was accepted and has no progress. */
    public static JobSnapshot ofAcceptedJob(Job job, int tasksPerShard) {
      return new JobSnapshot(job, tasksPerShard, null, TreePMap.empty());
    }

    /** Returns a copy of this snapshot with the progress record at {@code index} replaced. */
    JobSnapshot withShard(int index, Shard shard) {
      return new JobSnapshot(job, tasksPerShard, outcome, shards.plus(index, shard));
    }

    /** Returns a copy of this snapshot with another outcome, which may be null. */
    public JobSnapshot withOutcome(Outcome newOutcome) {
      return new JobSnapshot(job, tasksPerShard, newOutcome, shards);
    }

    /** Creates a snapshot of the current state of a job. */
    static JobSnapshot copyOf(JobRecord source) {
      PSortedMap<Integer, Shard> shards = TreePMap.empty();
      // The progress records of a completed job are about to be deleted. Tasks of a cancelled job
      // may still run and count towards its team's quota.
      if (source.outcome() != Outcome.DONE) {
        for (var item : source.shards().int2ObjectEntrySet()) {
          shards = shards.plus(item.getIntKey(), item.getValue().shard());
        }
      }
      return new JobSnapshot(source.job(), source.tasksPerShard(), source.outcome(), shards);
    }
  }

  /** Returns a copy of this snapshot with other jobs. */
  public RecordsSnapshot withJobs(PMap<String, JobSnapshot> newJobs) {
    return new RecordsSnapshot(cluster, nonce, position, term, catalog, newJobs);
  }

  /** Returns a copy of this snapshot whose term is at least {@code minTerm}. */
  public RecordsSnapshot withTermAtLeast(long minTerm) {
    return new RecordsSnapshot(cluster, nonce, position, Math.max(term, minTerm), catalog, jobs);
  }
}
