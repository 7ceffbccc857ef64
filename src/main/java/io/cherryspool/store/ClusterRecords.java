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
 * Read-only view of this node's replica of the cluster's records. The replica always corresponds to
 * one revision of the state store and may lag behind the newest one. {@link #refresh} completes
 * once the replica includes everything that was committed before the call.
 *
 * <p>All methods must be called on the event loop; futures complete and listeners run there.
 * Returned collections are unmodifiable views that change with the replica.
 */
public interface ClusterRecords {

  /**
   * Receives each change of the jobs' records, so that an index of the jobs can be updated
   * incrementally.
   */
  interface RecordsListener {
    /**
     * Called when a progress record has changed.
     *
     * @param before its previous content, {@link Shard#EMPTY} if there was no record
     * @param after its new content, {@link Shard#EMPTY} if the record was removed
     */
    void onProgress(JobRecord job, Shard before, Shard after);

    /**
     * Called when a job was accepted, has ended, or was marked or unmarked as held, unknown or
     * abandoned.
     */
    void onJobChanged(JobRecord job);

    /** Called after all records were reloaded. Every {@link JobRecord} is then a new object. */
    void onReloaded();
  }

  /**
   * Adds a listener for changes of single jobs. It is not called for records that the replica
   * already holds.
   */
  void addListener(RecordsListener listener);

  /** Removes a listener. Does nothing if the listener was not added. */
  void removeListener(RecordsListener listener);

  /** Adds a listener that runs once after each batch of changes and after each load. */
  void onChange(Runnable listener);

  /**
   * Whether all records of the current incarnation were read and no data loss has been detected
   * since.
   */
  boolean isLoaded();

  /** The revision of the state store that the replica has reached. */
  long revision();

  /**
   * Brings the replica up to date with everything that was committed before this call. Concurrent
   * calls share one request.
   *
   * @return a future that completes once the replica is up to date, and fails with a {@link
   *     StateStoreException} if this can't be confirmed. It fails immediately if the records are
   *     not loaded or a read is overdue.
   */
  CompletableFuture<Void> refresh();

  /**
   * The time on the event loop's clock at which the last successful read was sent, null before the
   * first one. The replica includes everything that was committed before that time.
   */
  Duration lastConfirmedAt();

  /** Whether a read has been unanswered for so long that {@link #refresh} fails immediately. */
  boolean isReadOverdue();

  /** The job with this id, or null if no such job was accepted. */
  JobRecord job(String id);

  /** All jobs that were ever accepted. */
  Collection<JobRecord> jobs();

  /** The number of jobs that were ever accepted. */
  int jobCount();

  /**
   * The jobs that have not ended, and the ended jobs whose progress records are not deleted yet.
   */
  Collection<JobRecord> activeJobs();

  /** The highest term that has begun, 0 before the first one. */
  long term();

  /** The version of the term record, 0 if there is none. */
  long termVersion();

  /** The current leader, or null if there is none. */
  Records.Leader leader();

  /** The version of the leader record, 0 if there is none. */
  long leaderVersion();

  /** The handover of leadership by the leader of the current term, or null if there was none. */
  Records.Successor successor();

  /** The machine types that a leader recorded last, or null if none were recorded. */
  List<MachineType> catalog();

  /** The version of the catalog record, 0 if there is none. */
  long catalogVersion();

  /**
   * Whether the records contain every task start. After a rebuild that may lack starts, this
   * becomes true once a leader has reconciled the records with the tasks that were running when the
   * state store lost its data.
   */
  boolean isReconciled();

  /**
   * Whether the records are reconciled and no job is unknown, abandoned or held. These marks are
   * not part of a snapshot; after another data loss the jobs are found again from the workers'
   * heartbeats.
   */
  boolean isFullyReconciled();

  /** Whether the records were rebuilt after a data loss and may lack starts of tasks. */
  boolean isPartialRebuild();

  /**
   * The prefix of the names of instance requests. A name must never be used twice. Names contain
   * the term, and after a data loss some terms may be unknown, so each rebuild uses a different
   * prefix.
   */
  String instanceRequestPrefix();

  /**
   * The ids of jobs that workers run, that the records lack since a data loss, and that no user has
   * submitted again.
   */
  Set<String> unknownJobs();

  /** Whether the job is one of {@link #unknownJobs}. */
  boolean isUnknownJob(String id);

  /** Whether an operator has abandoned this unknown job. */
  boolean isAbandonedJob(String id);

  /**
   * The ids of jobs that wait for an operator because their tasks may have ended without being
   * recorded.
   */
  Set<String> heldJobs();

  /** Whether the job was restored by a rebuild. */
  boolean isRebuiltJob(String id);

  /**
   * Returns the replica's content that must survive a data loss. The cost is proportional to the
   * number of jobs that changed since the last snapshot.
   *
   * @return {@link RecordsSnapshot#EMPTY} before the first load of the current incarnation and on a
   *     node without rollback detection
   */
  RecordsSnapshot snapshot();

  /**
   * Returns the jobs and outcomes that were written after a revision, as changes that write them
   * again. Empty on a node without rollback detection.
   */
  List<StateStoreProtocol.Change> immutableRecordsSince(long afterRevision);
}
