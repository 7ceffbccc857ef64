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
 * Records what ran when the state was lost. While it is open, tasks may run that the records have
 * as free: nothing is placed or started, and what workers report is recorded instead of stopped.
 * Afterwards it only protects tasks whose jobs nobody has described, until their users submit them
 * again.
 *
 * <p>Used on the event loop only.
 */
public final class TaskAdoption {
  /** For records that hold every start: there is nothing to adopt, whatever a worker reports. */
  public static final TaskAdoption NONE = new TaskAdoption(null, null, null, Set.of());

  private final ClusterRecords records;
  private final Fleet fleet;
  private final FencingTokenSource tokens;
  private final Set<String> heldClasses;

  /**
   * For records that were rebuilt from less than all that was ever recorded.
   *
   * @param heldClasses job classes of which no task that may have ended unseen is run again before
   *     an operator says so
   */
  public TaskAdoption(
      ClusterRecords records, Fleet fleet, FencingTokenSource tokens, Set<String> heldClasses) {
    this.records = records;
    this.fleet = fleet;
    this.tokens = tokens;
    this.heldClasses = heldClasses;
  }

  /** A leader's term ends with the incarnation of its records, so that this does not change. */
  private boolean isNeeded() {
    return this != NONE;
  }

  /** Whether tasks may run that the records have as free. */
  public boolean isInProgress() {
    return isNeeded() && !records.isReconciled();
  }

  /**
   * Whether the worker must not be sent a command to stop or acknowledge this task, although no
   * record gives it to the machine.
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

  /** Whether the machine runs tasks of unknown size, so that its free resources are not known. */
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

  /** Whether no task of the job may be placed or started now. */
  public boolean isPlacementBlocked(JobRecord job) {
    return isNeeded()
        && (isAdopting(job.job().id()) || records.heldJobs().contains(job.job().id()));
  }

  /** Whether tasks of the job may still be found that no record holds. */
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
   * Adds what the machines report to the round. Only heartbeats under a token of this term count:
   * an older one may be a late copy.
   *
   * @return changes beside those of progress records
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
          collect(machine, task, changeSetBuilder, unknownJobs, pendingJobs);
        }
      }
    }
    List<ChangeSet> changeSets = new ArrayList<>();
    for (String id : unknownJobs) {
      if (!records.isUnknownJob(id)) {
        changeSets.add(addMarker(Records.unknownJobKey(id)));
      }
    }
    for (String id : records.unknownJobs()) {
      if (records.job(id) != null && !pendingJobs.contains(id)) {
        changeSets.add(markerChange(Map.of(), Records.unknownJobKey(id), null));
      }
    }
    return changeSets;
  }

  private void collect(
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

  /** Whether everything that the machines report is recorded. */
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
   * The changes that end the adoption: first the jobs of which tasks may have ended unseen, where
   * an operator wants to be asked, and once those are recorded, that the records are reconciled.
   */
  List<ChangeSet> completionChanges() {
    List<ChangeSet> changeSets = new ArrayList<>();
    for (JobRecord job : records.activeJobs()) {
      String id = job.job().id();
      if (mayHaveEndedUnobserved(job) && !records.heldJobs().contains(id)) {
        changeSets.add(addMarker(Records.heldJobKey(id)));
      }
    }
    return changeSets.isEmpty() ? List.of(addMarker(Records.RECONCILED)) : changeSets;
  }

  private static ChangeSet addMarker(String key) {
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

  /** Whether the machine that the records give the attempt to reports it. */
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
