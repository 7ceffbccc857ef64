package io.cherryspool.store;

import io.cherryspool.model.MachineType;
import io.cherryspool.model.Shard;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Read-only view of this node's copy of the cluster's records. The copy is always some prefix of
 * the history that the state store holds, and may lag behind its end. {@link #refresh} waits until
 * it includes everything committed before the call.
 *
 * <p>All methods are called on the event loop; futures complete and listeners run there.
 * Collections are unmodifiable views that change with the copy.
 */
public interface ClusterRecords {

  /** Receives each change of the jobs' records, so that an index of them costs what changed. */
  interface RecordsListener {
    /**
     * A progress record changed.
     *
     * @param before its former content, {@link Shard#EMPTY} if there was no record
     * @param after its present content, {@link Shard#EMPTY} if the record was removed
     */
    void onProgress(JobRecord job, Shard before, Shard after);

    /** A job was accepted, has ended, or was marked as held, unknown or abandoned. */
    void onJobChanged(JobRecord job);

    /** All records were read anew: every {@link JobRecord} is another object. */
    void onReloaded();
  }

  /** Adds a listener for changes of single jobs. It is not called for what is already there. */
  void addListener(RecordsListener listener);

  /** Removes a listener; does nothing if it was not added. */
  void removeListener(RecordsListener listener);

  /** Adds a listener that runs once after each batch of changes, and after each load. */
  void onChange(Runnable listener);

  /** Whether all records of the present incarnation were read and nothing contradicts them. */
  boolean isLoaded();

  /** The revision of the state store that the copy has reached. */
  long revision();

  /**
   * Brings the copy up to date with everything committed before this call. Calls that wait at the
   * same time share one request.
   *
   * @return completes once the copy includes it; fails with a {@link StateStoreException} if that
   *     can't be established, at once if the records are not loaded or a read is overdue
   */
  CompletableFuture<Void> refresh();

  /**
   * When the last successful read was sent, on the event loop's clock; null before the first. The
   * copy includes everything committed before that moment.
   */
  Duration lastConfirmedAt();

  /** Whether a read has been unanswered for so long that no other is begun. */
  boolean isReadOverdue();

  /** The job, or null if none with this id was accepted. */
  JobRecord job(String id);

  /** All jobs ever accepted. */
  Collection<JobRecord> jobs();

  /** How many jobs were ever accepted. */
  int jobCount();

  /** The jobs with anything left to do: not ended, or with progress records still kept. */
  Collection<JobRecord> activeJobs();

  /** The highest term that was begun; 0 before the first. */
  long term();

  /** The version of the term's record, 0 if there is none. */
  long termVersion();

  /** The present leader, or null if there is none. */
  Records.Leader leader();

  /** The version of the leader's record, 0 if there is none. */
  long leaderVersion();

  /** To whom the leader of the present term handed leadership over, or null if it did not. */
  Records.Successor successor();

  /** The machine types as some leader recorded them, or null if none did. */
  List<MachineType> catalog();

  /** The version of the catalog's record, 0 if there is none. */
  long catalogVersion();

  /**
   * Whether a leader has reconciled the tasks that ran when the state store lost its data with the
   * records. True if no start can be missing from them.
   */
  boolean isReconciled();

  /**
   * Whether the records are reconciled and nothing waits for users or operators since an earlier
   * loss. What waits is not part of a snapshot; after another loss it is found again by heartbeats.
   */
  boolean isFullyReconciled();

  /** Whether the records were rebuilt, and starts of tasks may be missing from them. */
  boolean isPartialRebuild();

  /**
   * The prefix of the names of instance requests. A name must never be used twice, and after a loss
   * the terms that were given out need not all be known, so that it differs with each rebuild.
   */
  String instanceRequestPrefix();

  /** The ids of jobs that workers run and that nobody has submitted again since a loss. */
  Set<String> unknownJobs();

  /** Whether the job is one of {@link #unknownJobs}. */
  boolean isUnknownJob(String id);

  /** Whether an operator has given up this unknown job. */
  boolean isAbandonedJob(String id);

  /** The ids of jobs that wait for an operator, since their tasks may have ended unobserved. */
  Set<String> heldJobs();

  /** Whether the job comes from a rebuild, and was not submitted since. */
  boolean isRebuiltJob(String id);

  /**
   * The records that have to outlive a loss, as the copy holds them. Taking one costs what changed
   * since the last one. {@link RecordsSnapshot#EMPTY} before the first load of the present
   * incarnation, and on a node without rollback detection.
   */
  RecordsSnapshot snapshot();

  /**
   * The jobs and outcomes that were written after a revision, as changes that would write them
   * again. Empty on a node without rollback detection.
   */
  List<StateStoreProtocol.Change> immutableRecordsSince(long afterRevision);
}
