package io.cherryspool.controller;

import io.cherryspool.model.Attempt;
import io.cherryspool.model.Report;
import io.cherryspool.recovery.Reconciliation;
import io.cherryspool.recovery.Reconciliation.Decision;
import io.cherryspool.store.JobEntry;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.wire.StateWire;
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
final class Adoption {
  /** Of records that hold every start: nothing to take in. */
  static final Adoption NONE = new Adoption(null, null, null);

  private final Replica replica;
  private final Fleet fleet;
  private final Tokens tokens;

  Adoption(Replica replica, Fleet fleet, Tokens tokens) {
    this.replica = replica;
    this.fleet = fleet;
    this.tokens = tokens;
  }

  private boolean concerned() {
    return replica != null && replica.rebuiltFromPart();
  }

  /** Whether tasks may run that the records have as free. */
  boolean open() {
    return concerned() && !replica.settled();
  }

  /** Whether the worker must not be told to stop or forget this task, which no record gives it. */
  boolean protects(MachineState machine, Report.TaskReport item) {
    if (!concerned()) {
      return false;
    }
    Decision decision = decide(machine, item);
    return decision == Decision.LEAVE
        || (decision == Decision.ADOPT || decision == Decision.COUNT_DONE)
            && concerns(item.task().job());
  }

  /** Whether the machine runs tasks of unknown size, so that its room is not known. */
  boolean occupies(MachineState machine) {
    if (!concerned() || machine.latest == null) {
      return false;
    }
    for (Report.TaskReport item : machine.latest.tasks()) {
      if (protects(machine, item)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the job's tasks may run without a record, so that none may be placed. */
  boolean holdsBack(JobEntry entry) {
    return concerned() && concerns(entry.job().id());
  }

  private boolean concerns(String job) {
    return !replica.settled() || replica.unknownAtWorkers(job);
  }

  private Decision decide(MachineState machine, Report.TaskReport item) {
    JobEntry entry = replica.job(item.task().job());
    return Reconciliation.decide(
        entry,
        item,
        machine.name,
        machine.latest.session(),
        entry != null && ownerReports(entry, item));
  }

  private boolean ownerReports(JobEntry entry, Report.TaskReport item) {
    int task = item.task().number();
    Attempt owner =
        task < entry.job().tasks() ? entry.shard(entry.shardOf(task)).shard().owner(task) : null;
    MachineState machine = owner == null ? null : fleet.get(owner.machine());
    return machine != null
        && !machine.gone
        && machine.latest != null
        && machine.latest.session() == owner.session()
        && machine.find(item.task(), owner.number()) != null;
  }

  /**
   * Adds what the machines report to the round. Only messages under a token of this term count: an
   * older one may be a late copy.
   *
   * @return changes beside those of progress records
   */
  List<RoundWriter.Unit> collect(RoundEdits edits) {
    if (!concerned()) {
      return List.of();
    }
    Set<String> unknown = new HashSet<>();
    Set<String> pending = new HashSet<>();
    for (MachineState machine : fleet.all()) {
      if (machine.gone || machine.latest == null || machine.latest.token() <= tokens.base()) {
        continue;
      }
      for (Report.TaskReport item : machine.latest.tasks()) {
        collect(machine, item, edits, unknown, pending);
      }
    }
    List<RoundWriter.Unit> units = new ArrayList<>();
    for (String id : unknown) {
      if (!replica.unknownAtWorkers(id)) {
        units.add(unit(Map.of(Records.unknown(id), 0L), Records.unknown(id), true));
      }
    }
    for (String id : replica.unknownAtWorkers()) {
      if (replica.job(id) != null && !pending.contains(id)) {
        units.add(unit(Map.of(), Records.unknown(id), false));
      }
    }
    return units;
  }

  private void collect(
      MachineState machine,
      Report.TaskReport item,
      RoundEdits edits,
      Set<String> unknown,
      Set<String> pending) {
    String id = item.task().job();
    Decision decision = decide(machine, item);
    if (decision == Decision.LEAVE) {
      unknown.add(id);
    } else if (concerns(id) && decision == Decision.ADOPT) {
      pending.add(id);
      edits.adopt(
          replica.job(id),
          new Attempt(
              item.task().number(),
              machine.name,
              machine.latest.session(),
              item.attempt(),
              machine.latest.token()));
    } else if (concerns(id) && decision == Decision.COUNT_DONE) {
      pending.add(id);
      edits.complete(replica.job(id), item.task().number());
    }
  }

  /** Whether everything that the machines report is recorded. */
  boolean allRecorded() {
    for (MachineState machine : fleet.all()) {
      if (machine.gone || machine.latest == null) {
        continue;
      }
      for (Report.TaskReport item : machine.latest.tasks()) {
        Decision decision = decide(machine, item);
        boolean left = decision == Decision.LEAVE && !replica.unknownAtWorkers(item.task().job());
        if (left || decision == Decision.ADOPT || decision == Decision.COUNT_DONE) {
          return false;
        }
      }
    }
    return true;
  }

  private static RoundWriter.Unit unit(Map<String, Long> conditions, String key, boolean present) {
    return new RoundWriter.Unit(
        conditions,
        List.of(new StateWire.Change(key, present ? Records.mark() : null, 0)),
        0,
        RateLimiter.Use.ROUND);
  }

  /** The change that ends the taking in. */
  static RoundWriter.Unit settledUnit() {
    return unit(Map.of(Records.SETTLED, 0L), Records.SETTLED, true);
  }
}
