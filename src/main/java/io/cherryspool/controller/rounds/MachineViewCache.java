package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.MachineContact;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.model.Job;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.scheduler.ClusterView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches the machines' views, from which rounds are planned. A machine's view is valid until the
 * machine changes, so that the cost of preparing a round depends only on the changes since the last
 * one.
 *
 * <p>Used on the event loop only.
 */
final class MachineViewCache {
  private final FencingTokenSource tokens;
  private final Fleet fleet;
  private final TaskTracking tasks;
  private final Duration maxSilence;
  private final Duration halfLease;

  /**
   * Creates a cache, which stores the views in the states of the machines.
   *
   * @param maxSilence the time without a heartbeat after which no task is placed on a machine
   * @param halfLease half a worker's lease; no task is placed on a machine with less of its lease
   *     left
   */
  MachineViewCache(
      FencingTokenSource tokens,
      Fleet fleet,
      TaskTracking tasks,
      Duration maxSilence,
      Duration halfLease) {
    this.tokens = tokens;
    this.fleet = fleet;
    this.tasks = tasks;
    this.maxSilence = maxSilence;
    this.halfLease = halfLease;
  }

  /** Discards all views, after all records were reloaded. */
  void invalidateAll() {
    for (MachineState machine : fleet.all()) {
      machine.invalidateView();
    }
  }

  /** Returns the machines of a known type on which tasks may be placed now. */
  List<ClusterView.MachineView> schedulableMachines(List<MachineType> catalog, Duration now) {
    Map<String, MachineType> types = new HashMap<>();
    for (MachineType type : catalog) {
      types.put(type.name(), type);
    }
    List<ClusterView.MachineView> result = new ArrayList<>();
    for (MachineState machine : fleet.all()) {
      MachineType type = types.get(machine.type());
      if (type == null || !isSchedulable(machine, now)) {
        continue;
      }
      machine.removeExpiredExclusions(now);
      result.add(view(machine, type));
    }
    return result;
  }

  private ClusterView.MachineView view(MachineState machine, MachineType type) {
    ClusterView.MachineView cached = machine.cachedView();
    // The catalog is reloaded from time to time, with new prices.
    if (cached != null && cached.type() == type) {
      return cached;
    }
    ClusterView.MachineView fresh = buildView(machine, type);
    machine.cacheView(fresh);
    return fresh;
  }

  /**
   * Whether tasks may be placed on the machine: it has acknowledged a fencing token of this term,
   * receives replies to its heartbeats, has sent a heartbeat recently, and has at least half its
   * lease left, among other conditions. Direct calls do not renew the lease. A machine that answers
   * them while its heartbeats are lost will therefore soon lose its lease and kill its tasks.
   */
  boolean isSchedulable(MachineState machine, Duration now) {
    MachineContact contact = machine.contact();
    return contact.hasHeartbeat()
        && !machine.isDeleted()
        && !machine.isMarkedForDeletion()
        && !contact.isUnresponsive()
        && contact.ignoredReplies() == 0
        && contact.latestHeartbeat().preemptionNotice() == null
        && !machine.history().isFaulty()
        && now.minus(contact.lastHeartbeatAt()).compareTo(maxSilence) < 0
        && now.minus(contact.lastLeaseRenewalAt()).compareTo(halfLease) < 0
        && contact.hasTokenAbove(tokens.termBase())
        && !tasks.adoption().hasUnknownUsage(machine);
  }

  private ClusterView.MachineView buildView(MachineState machine, MachineType type) {
    Resources free = type.capacity();
    List<ClusterView.RunningTask> running = new ArrayList<>();
    for (Ownership.OwnedTask owned : tasks.ownership().ownedTasksOn(machine.name())) {
      if (!tasks.pendingReleases().contains(owned)) {
        Job job = owned.jobRecord().job();
        free = free.minus(job.perTask());
        running.add(
            new ClusterView.RunningTask(
                owned.taskId(),
                job,
                machine.history().runningSince(owned.taskId()).orElse(null),
                tasks.stopRequests().isRequested(owned)));
      }
    }
    return new ClusterView.MachineView(
        machine.name(),
        type,
        machine.zone(),
        machine.isSpot(),
        machine.isDraining(),
        free,
        machine.history().images(),
        machine.history().excludedJobs(),
        running);
  }
}
