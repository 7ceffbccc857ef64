package io.cherryspool.controller.rounds;

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
 * Takes in what ran when the state was lost. While it is open, tasks may run that the records have
 * as free: nothing is placed or started, and what workers report is recorded instead of stopped.
 * Afterwards it only looks after tasks whose jobs nobody has described, until their users submit
 * them again.
 */
public final class Adoption {
  /** Of records that hold every start: nothing to take in. */
  public static final Adoption NONE = new Adoption(null, null, null, Set.of());

  private final ClusterRecords replica;
  private final Fleet fleet;
  private final FencingTokenSource tokens;
  private final Set<String> heldClasses;

  /**
   * @param heldClasses classes of which no task that may have ended unseen is run again before an
   *     operator says so
   */
  public Adoption(
      ClusterRecords replica, Fleet fleet, FencingTokenSource tokens, Set<String> heldClasses) {
    this.replica = replica;
    this.fleet = fleet;
    this.tokens = tokens;
    this.heldClasses = heldClasses;
  }

  /** A leader's term ends with the incarnation of its records, so that this does not change. */
  private boolean concerned() {
    return this != NONE;
  }

  /** Whether tasks may run that the records have as free. */
  public boolean isOpen() {
    return concerned() && !replica.isReconciled();
  }

  /** Whether the worker must not be told to stop or forget this task, which no record gives it. */
  public boolean mustLeaveUntouched(MachineState machine, WorkerHeartbeat.TaskStatus item) {
    if (!concerned()) {
      return false;
    }
    Decision decision = decide(machine, item);
    return decision == Decision.LEAVE && !replica.isAbandoned(item.task().jobId())
        || (decision == Decision.ADOPT || decision == Decision.RECORD_DONE)
            && concerns(item.task().jobId());
  }

  /** Whether the machine runs tasks of unknown size, so that its room is not known. */
  public boolean hasUnknownUsage(MachineState machine) {
    if (!concerned() || !machine.hasHeartbeat()) {
      return false;
    }
    for (WorkerHeartbeat.TaskStatus item : machine.latestHeartbeat().tasks()) {
      if (mustLeaveUntouched(machine, item)) {
        return true;
      }
    }
    return false;
  }

  /** Whether no task of the job may be placed or started now. */
  public boolean isHeldBack(JobRecord entry) {
    return concerned()
        && (concerns(entry.job().id()) || replica.heldJobs().contains(entry.job().id()));
  }

  private boolean concerns(String job) {
    return !replica.isReconciled() || replica.isUnknownJob(job);
  }

  private Decision decide(MachineState machine, WorkerHeartbeat.TaskStatus item) {
    JobRecord entry = replica.job(item.task().jobId());
    return Reconciliation.decide(
        entry,
        item,
        machine.name(),
        machine.latestHeartbeat().agentEpoch(),
        entry != null && ownerReports(entry, item));
  }

  private boolean ownerReports(JobRecord entry, WorkerHeartbeat.TaskStatus item) {
    int task = item.task().index();
    Attempt owner =
        task < entry.job().taskCount()
            ? entry.shard(entry.shardIndexOf(task)).shard().ownedAttempt(task)
            : null;
    return owner != null && reports(entry, owner);
  }

  /**
   * Adds what the machines report to the round. Only messages under a token of this term count: an
   * older one may be a late copy.
   *
   * @return changes beside those of progress records
   */
  List<RoundCommitter.ChangeSet> collectChanges(RoundTransaction edits) {
    if (!concerned()) {
      return List.of();
    }
    Set<String> unknown = new HashSet<>();
    Set<String> pending = new HashSet<>();
    for (MachineState machine : fleet.all()) {
      if (machine.isDeleted() || !machine.contact().hasTokenAbove(tokens.termBase())) {
        continue;
      }
      for (WorkerHeartbeat.TaskStatus item : machine.latestHeartbeat().tasks()) {
        collectChanges(machine, item, edits, unknown, pending);
      }
    }
    List<RoundCommitter.ChangeSet> units = new ArrayList<>();
    for (String id : unknown) {
      if (!replica.isUnknownJob(id)) {
        units.add(unit(Map.of(Records.unknownJobKey(id), 0L), Records.unknownJobKey(id), true));
      }
    }
    for (String id : replica.unknownJobs()) {
      if (replica.job(id) != null && !pending.contains(id)) {
        units.add(unit(Map.of(), Records.unknownJobKey(id), false));
      }
    }
    return units;
  }

  private void collectChanges(
      MachineState machine,
      WorkerHeartbeat.TaskStatus item,
      RoundTransaction edits,
      Set<String> unknown,
      Set<String> pending) {
    String id = item.task().jobId();
    Decision decision = decide(machine, item);
    if (decision == Decision.LEAVE) {
      if (!replica.isAbandoned(id)) {
        unknown.add(id);
      }
    } else if (concerns(id) && decision == Decision.ADOPT) {
      pending.add(id);
      edits.adopt(
          replica.job(id),
          new Attempt(
              item.task().index(),
              machine.name(),
              machine.latestHeartbeat().agentEpoch(),
              item.attempt(),
              machine.latestHeartbeat().highestFencingToken()));
    } else if (concerns(id) && decision == Decision.RECORD_DONE) {
      pending.add(id);
      edits.complete(replica.job(id), item.task().index());
    }
  }

  /** Whether everything that the machines report is recorded. */
  public boolean isAllRecorded() {
    for (MachineState machine : fleet.all()) {
      if (machine.isDeleted() || !machine.hasHeartbeat()) {
        continue;
      }
      for (WorkerHeartbeat.TaskStatus item : machine.latestHeartbeat().tasks()) {
        Decision decision = decide(machine, item);
        String id = item.task().jobId();
        boolean noted = replica.isUnknownJob(id) || replica.isAbandoned(id);
        boolean left = decision == Decision.LEAVE && !noted;
        if (left || decision == Decision.ADOPT || decision == Decision.RECORD_DONE) {
          return false;
        }
      }
    }
    return true;
  }

  private static RoundCommitter.ChangeSet unit(
      Map<String, Long> conditions, String key, boolean present) {
    return new RoundCommitter.ChangeSet(
        conditions,
        List.of(new StateStoreProtocol.Change(key, present ? Records.presenceMarker() : null, 0)),
        0,
        RateLimiter.WriteClass.ROUND);
  }

  /**
   * The changes that end the taking in: first the jobs of which tasks may have ended unseen, where
   * an operator wants to be asked, and once those are there, that it is over.
   */
  List<RoundCommitter.ChangeSet> reconciledChanges() {
    List<RoundCommitter.ChangeSet> units = new ArrayList<>();
    for (JobRecord entry : replica.activeJobs()) {
      String id = entry.job().id();
      if (uncertain(entry) && !replica.heldJobs().contains(id)) {
        units.add(unit(Map.of(Records.heldJobKey(id), 0L), Records.heldJobKey(id), true));
      }
    }
    return units.isEmpty()
        ? List.of(unit(Map.of(Records.RECONCILED, 0L), Records.RECONCILED, true))
        : units;
  }

  private boolean uncertain(JobRecord entry) {
    if (entry.outcome() != null
        || !heldClasses.contains(entry.job().jobClass())
        || !replica.isRebuilt(entry.job().id())) {
      return false;
    }
    int accounted = entry.doneCount();
    for (JobRecord.VersionedShard item : entry.shards().values()) {
      for (Attempt attempt : item.shard().ownedAttempts().values()) {
        accounted += reports(entry, attempt) ? 1 : 0;
      }
    }
    return accounted < entry.job().taskCount();
  }

  private boolean reports(JobRecord entry, Attempt attempt) {
    MachineState machine = fleet.get(attempt.machine());
    return machine != null
        && !machine.isDeleted()
        && machine.hasHeartbeat()
        && machine.latestHeartbeat().agentEpoch() == attempt.agentEpoch()
        && machine
            .contact()
            .findTask(new TaskId(entry.job().id(), attempt.taskIndex()), attempt.number())
            .isPresent();
  }
}
