package io.cherryspool.controller.provisioning;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.DemandEstimator;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.rounds.TaskAdoption;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.model.Durations;
import io.cherryspool.model.MachineType;
import io.cherryspool.reachability.LocalHealth;
import io.cherryspool.scheduler.ScalingPlanner;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Sizes the fleet for one term of the leader. Each step makes at most one call to the cloud, by
 * precedence: reads the list, deletes machines, repeats a request for instances, or scales the
 * fleet by the plan. Used on the event loop only.
 */
public final class Provisioner implements Lifecycle {
  /** Steps that find nothing to do take at most about one part in so many of the processor. */
  private static final int COST_SHARE = 40;

  /** However long a step took, the next one comes after this. */
  private static final Duration MAX_PAUSE = Duration.ofSeconds(2);

  /** How late a step may come before this node counts as having stood still. */
  private static final Duration MAX_STEP_DELAY = Duration.ofMillis(1500);

  /** The pause between steps keeps the calls to two thirds of the rate that the cloud allows. */
  private static final double PAUSE_NANOS_PER_RATE = 1.5e9;

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final ClusterState cluster;
  private final FleetPermissions permissions;
  private final BooleanSupplier mayChangeFleet;
  private final Duration stepInterval;
  private final Duration idleTimeout;
  private final InstanceList list;
  private final InstanceRequests requests;
  private final MachineRemoval removal;
  private final LocalHealth health = new LocalHealth(MAX_STEP_DELAY);
  private EventLoop.Timer timer;

  /**
   * What the fleet is sized by.
   *
   * @param adoption what runs without a record after a loss of state
   * @param catalog the machine types, null while they are not known
   */
  public record ClusterState(
      Fleet fleet,
      Ownership ownership,
      TaskAdoption adoption,
      SchedulingLoop rounds,
      DemandEstimator demand,
      Supplier<List<MachineType>> catalog) {}

  /**
   * The cloud as one term may use it.
   *
   * @param requestPrefix makes the names of this term's requests unlike those of any other
   * @param mayChangeFleet whether no other leader may be changing the fleet
   */
  public record CloudAccess(
      CloudClient client,
      ProvisioningLimits limits,
      String requestPrefix,
      BooleanSupplier mayChangeFleet) {}

  /**
   * Creates the provisioner.
   *
   * @param onListRead is run after each complete reading of the cloud's list
   */
  public Provisioner(
      EventLoop loop,
      CloudAccess cloud,
      ClusterState cluster,
      FleetPermissions permissions,
      Runnable onListRead) {
    ProvisioningLimits limits = cloud.limits();
    this.loop = loop;
    this.calls = new CloudCallSlot(cloud.client());
    this.cluster = cluster;
    this.permissions = permissions;
    this.mayChangeFleet = cloud.mayChangeFleet();
    this.stepInterval =
        Duration.ofNanos((long) (PAUSE_NANOS_PER_RATE / limits.cloudRequestsPerSecond()));
    this.idleTimeout = limits.idleTimeout();
    this.list = new InstanceList(loop, calls, cluster.fleet(), onListRead);
    this.requests =
        new InstanceRequests(loop, calls, cluster.fleet(), cloud.requestPrefix(), limits.listLag());
    this.removal =
        new MachineRemoval(loop, calls, list, requests, cluster, permissions, limits.listLag());
  }

  @Override
  public void start() {
    step();
  }

  @Override
  public void stop() {
    calls.close();
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  /** Whether the cloud's whole list was read at this moment or later. */
  public boolean isListReadSince(Duration moment) {
    return list.isReadSince(moment);
  }

  /** The names of the machines that the cloud last listed and that may run tasks, as a copy. */
  public Set<String> listedMachines() {
    return list.usableNames();
  }

  /** Whether the cloud lists the machine. */
  public boolean isListed(String machine) {
    return list.contains(machine);
  }

  private void step() {
    Duration begun = loop.now();
    // What came while this node stood still, or was far behind, waits in its sockets.
    health.recordTick(begun, stepInterval);
    timer = loop.schedule(stepInterval, this::step);
    act();
    Duration pause = Durations.multiply(loop.now().minus(begun), COST_SHARE);
    // After a call to the cloud the next one may follow. The timer is gone if it was stopped
    // meanwhile.
    if (timer != null && calls.isFree() && pause.compareTo(stepInterval) > 0) {
      timer.cancel();
      Duration next = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
      health.postpone(loop.now(), next);
      timer = loop.schedule(next, this::step);
    }
  }

  private void act() {
    // A leader that is cut off would take workers that went over to its successor for silent ones,
    // and delete their machines.
    if (!calls.isFree()
        || !mayChangeFleet.getAsBoolean()
        || !permissions.mayPlace().getAsBoolean()) {
      return;
    }
    Duration now = loop.now();
    if (list.isReadingDue(now)) {
      list.read(now);
      return;
    }
    if (!list.isRead()) {
      return;
    }
    removal.markFailed(now, health.healthyFor(now));
    if (removal.hasMarked()) {
      removal.deleteMarked();
    } else if (requests.hasUnanswered()) {
      requests.repeatUnanswered();
    } else if (!cluster.adoption().isInProgress() && permissions.mayScale().getAsBoolean()) {
      // Until it is known what runs, what is needed besides is not known either.
      scale(now);
    }
  }

  private void scale(Duration now) {
    List<MachineType> catalog = cluster.catalog().get();
    if (catalog == null) {
      return;
    }
    Set<ScalingPlanner.Offering> unavailable = requests.unavailableOfferings(now);
    cluster.fleet().removeDeleted(cluster.ownership());
    Map<String, MachineType> types = new HashMap<>();
    catalog.forEach(type -> types.put(type.name(), type));
    ScalingPlanner.Decision decision =
        ScalingPlanner.decide(
            new ScalingPlanner.FleetView(
                cluster.demand().now(),
                cluster.rounds().lastPlan().unschedulable(),
                cluster.rounds().lastPlan().relocatable(),
                requests.provisioning(list, types),
                activeMachines(types, now),
                cluster.demand().estimateDemand(),
                catalog,
                unavailable,
                idleTimeout));
    for (MachineState machine : cluster.fleet().all()) {
      machine.setDraining(decision.draining().contains(machine.name()));
    }
    if (decision.scaleOut().isEmpty()) {
      decision.scaleIn().forEach(name -> removal.markForDeletion(name, "it has been idle"));
    } else {
      Map.Entry<ScalingPlanner.Offering, Integer> first =
          decision.scaleOut().entrySet().iterator().next();
      requests.request(first.getKey(), first.getValue());
    }
  }

  private List<ScalingPlanner.ActiveMachine> activeMachines(
      Map<String, MachineType> types, Duration now) {
    List<ScalingPlanner.ActiveMachine> result = new ArrayList<>();
    for (MachineState machine : cluster.fleet().all()) {
      MachineType type = types.get(machine.type());
      if (type == null
          || machine.isDeleted()
          || machine.isMarkedForDeletion()
          || !machine.hasHeartbeat()) {
        continue;
      }
      double usedCpus = 0;
      for (Ownership.OwnedTask owned : cluster.ownership().ownedTasksOn(machine.name())) {
        usedCpus += owned.jobRecord().job().perTask().cpus();
      }
      result.add(
          new ScalingPlanner.ActiveMachine(
              machine.name(),
              new ScalingPlanner.Offering(type, machine.zone(), machine.isSpot()),
              usedCpus,
              machine.idleFor(now).orElse(null)));
    }
    return result;
  }
}
