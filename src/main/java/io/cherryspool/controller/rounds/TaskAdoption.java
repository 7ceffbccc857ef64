package io.cherryspool.controller.rounds;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.recovery.Reconciliation;
import io.cherryspool.recovery.Reconciliation.Decision;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Adopts tasks that run without a record, after the state store has lost data and the records were
 * rebuilt. While the adoption is in progress, tasks may run that the records list as free: no task
 * is placed or started, and unrecorded tasks that workers report are recorded instead of stopped.
 * After the adoption is complete, this class only protects running tasks of jobs whose descriptions
 * were lost, until their users submit the jobs again.
 *
 * <p>Used on the event loop only.
 */
public final class TaskAdoption {
  /**
   * The adoption for records that contain every start of a task: no reported task is adopted or
   * protected.
   */
  public static final TaskAdoption NONE = new TaskAdoption(null, null, null, Set.of());

  private final ClusterRecords records;
  private final Fleet fleet;
  private final FencingTokenSource tokens;
  private final Set<String> heldClasses;

  /**
   * Creates an adoption for records that were rebuilt from incomplete data.
   *
   * @param heldClasses job classes whose jobs are held for an operator's decision if some of their
   *     tasks may have ended unobserved; no task of a held job is placed
   */
  public TaskAdoption(
      ClusterRecords records, Fleet fleet, FencingTokenSource tokens, Set<String> heldClasses) {
    this.records = records;
    this.fleet = fleet;
    this.tokens = tokens;
    this.heldClasses = heldClasses;
  }

  /**
   * Whether tasks may run without a record. The answer is the same for a whole term, since a
   * leader's term ends when the incarnation of its records ends.
   */
  private boolean isNeeded() {
    return this != NONE;
  }

  /** Whether the adoption is in progress, so that tasks may run that the records list as free. */
  public boolean isInProgress() {
    return isNeeded() && !records.isReconciled();
  }

  /**
   * Whether the reported task is protected. A protected task is neither stopped nor acknowledged,
   * although no record assigns it to the machine.
   */
  public boolean isProtected(MachineState machine, WorkerHeartbeat.TaskStatus task) {
    if (!isNeeded()) {
      return false;
    }
    String job = task.task().jobId();
    return switch (decide(machine, task)) {
      case DEFER -> !records.isAbandonedJob(job);
      case ADOPT, RECORD_DONE -> isAdopting(job);
      case KEEP, DISCARD -> false;
    };
  }

  /**
   * Whether the machine runs protected tasks, so that its free resources cannot be computed from
   * the records.
   */
  public boolean hasUnknownUsage(MachineState machine) {
    if (!isNeeded() || !machine.hasHeartbeat()) {
      return false;
    }
    for (WorkerHeartbeat.TaskStatus task : machine.latestHeartbeat().tasks()) {
      if (isProtected(machine, task)) {
        return true;
      }
    }
    return false;
  }

  /** Whether tasks of the job must not be placed or started now. */
  public boolean isPlacementBlocked(JobRecord job) {
    return isNeeded()
        && (isAdopting(job.job().id()) || records.heldJobs().contains(job.job().id()));
  }

  /** Whether machines may still report tasks of the job that no record contains. */
  private boolean isAdopting(String job) {
    return !records.isReconciled() || records.isUnknownJob(job);
  }

  private Decision decide(MachineState machine, WorkerHeartbeat.TaskStatus task) {
    JobRecord job = records.job(task.task().jobId());
    return Reconciliation.decide(
        job,
        task,
        machine.name(),
        machine.latestHeartbeat().agentEpoch(),
        job != null && isReportedByOwner(job, task.task().index()));
  }

  private boolean isReportedByOwner(JobRecord job, int task) {
    Attempt owned =
        task < job.job().taskCount()
            ? job.shard(job.shardIndexOf(task)).shard().ownedAttempt(task)
            : null;
    return owned != null && isReported(job, owned);
  }

  /**
   * Adds reported tasks that no record contains to the changes of the round. Only heartbeats with a
   * fencing token of this term are considered, since one with an older token may be a delayed copy.
   *
   * @return the changes of records other than progress records, which are the markers of unknown
   *     jobs
   */
  List<ChangeSet> collectChanges(RoundChangeSetBuilder changeSetBuilder) {
    if (!isNeeded()) {
      return List.of();
    }
    Set<String> unknownJobs = new HashSet<>();
    Set<String> pendingJobs = new HashSet<>();
    for (MachineState machine : fleet.all()) {
      if (!machine.isDeleted() && machine.contact().hasTokenAbove(tokens.termBase())) {
        for (WorkerHeartbeat.TaskStatus task : machine.latestHeartbeat().tasks()) {
          collectTask(machine, task, changeSetBuilder, unknownJobs, pendingJobs);
        }
      }
    }
    List<ChangeSet> changeSets = new ArrayList<>();
    for (String id : unknownJobs) {
      if (!records.isUnknownJob(id)) {
        changeSets.add(newMarkerChange(Records.unknownJobKey(id)));
      }
    }
    for (String id : records.unknownJobs()) {
      if (records.job(id) != null && !pendingJobs.contains(id)) {
        changeSets.add(markerChange(Map.of(), Records.unknownJobKey(id), null));
      }
    }
    return changeSets;
  }

  private void collectTask(
      MachineState machine,
      WorkerHeartbeat.TaskStatus task,
      RoundChangeSetBuilder changeSetBuilder,
      Set<String> unknownJobs,
      Set<String> pendingJobs) {
    String id = task.task().jobId();
    Decision decision = decide(machine, task);
    if (decision == Decision.DEFER) {
      if (!records.isAbandonedJob(id)) {
        unknownJobs.add(id);
      }
    } else if (isAdopting(id) && decision == Decision.ADOPT) {
      pendingJobs.add(id);
      WorkerHeartbeat heartbeat = machine.latestHeartbeat();
      changeSetBuilder.adopt(
          records.job(id),
          new Attempt(
              task.task().index(),
              machine.name(),
              heartbeat.agentEpoch(),
              task.attempt(),
              heartbeat.highestFencingToken()));
    } else if (isAdopting(id) && decision == Decision.RECORD_DONE) {
      pendingJobs.add(id);
      changeSetBuilder.complete(records.job(id), task.task().index());
    }
  }

  /** Whether all tasks that the machines report are recorded. */
  public boolean isAllRecorded() {
    for (MachineState machine : fleet.all()) {
      if (machine.isDeleted() || !machine.hasHeartbeat()) {
        continue;
      }
      for (WorkerHeartbeat.TaskStatus task : machine.latestHeartbeat().tasks()) {
        String id = task.task().jobId();
        boolean isRecorded =
            switch (decide(machine, task)) {
              case DEFER -> records.isUnknownJob(id) || records.isAbandonedJob(id);
              case ADOPT, RECORD_DONE -> false;
              case KEEP, DISCARD -> true;
            };
        if (!isRecorded) {
          return false;
        }
      }
    }
    return true;
  }

  /**
   * Returns the changes that complete the adoption. First these are markers for the jobs that are
   * held for an operator because some of their tasks may have ended unobserved. Once those are
   * recorded, it is the marker that the records are reconciled.
   */
  List<ChangeSet> completionChanges() {
    List<ChangeSet> changeSets = new ArrayList<>();
    for (JobRecord job : records.activeJobs()) {
      String id = job.job().id();
      if (mayHaveEndedUnobserved(job) && !records.heldJobs().contains(id)) {
        changeSets.add(newMarkerChange(Records.heldJobKey(id)));
      }
    }
    return changeSets.isEmpty() ? List.of(newMarkerChange(Records.RECONCILED)) : changeSets;
  }

  private static ChangeSet newMarkerChange(String key) {
    return markerChange(Map.of(key, 0L), key, Records.presenceMarker());
  }

  private static ChangeSet markerChange(Map<String, Long> conditions, String key, JsonNode value) {
    return new ChangeSet(
        conditions,
        List.of(new StateStoreProtocol.Change(key, value, 0)),
        0,
        RateLimiter.WriteClass.ROUND);
  }

  private boolean mayHaveEndedUnobserved(JobRecord job) {
    if (job.outcome() != null
        || !heldClasses.contains(job.job().jobClass())
        || !records.isRebuiltJob(job.job().id())) {
      return false;
    }
    int accountedTasks = job.doneCount();
    for (JobRecord.VersionedShard item : job.shards().values()) {
      for (Attempt attempt : item.shard().ownedAttempts().values()) {
        accountedTasks += isReported(job, attempt) ? 1 : 0;
      }
    }
    return accountedTasks < job.job().taskCount();
  }

  /** Whether the machine to which the records assign the attempt reports it. */
  private boolean isReported(JobRecord job, Attempt attempt) {
    MachineState machine = fleet.get(attempt.machine());
    return machine != null
        && !machine.isDeleted()
        && machine.hasHeartbeat()
        && machine.latestHeartbeat().agentEpoch() == attempt.agentEpoch()
        && machine
            .contact()
            .findTask(new TaskId(job.job().id(), attempt.taskIndex()), attempt.number())
            .isPresent();
  }
}
