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
 * Adjusts the size of the fleet during one term of the leader. Each step calls the cloud for at
 * most one action. In order of precedence, it reads the instance list, deletes machines, repeats a
 * request for instances, or scales the fleet to the demand. Used on the event loop only.
 */
public final class Provisioner implements Lifecycle {
  /**
   * The pause after a step without a call to the cloud, as a multiple of the time that the step
   * took. This limits the CPU share of such steps.
   */
  private static final int PAUSE_TO_STEP_TIME_RATIO = 40;

  /** The longest pause between steps, however long a step took. */
  private static final Duration MAX_STEP_PAUSE = Duration.ofSeconds(2);

  /** How late a step may run before this node counts as having been stalled. */
  private static final Duration MAX_STEP_DELAY = Duration.ofMillis(1500);

  /**
   * The interval between steps in nanoseconds if the cloud allows one request per second. It keeps
   * the calls to two thirds of the allowed rate.
   */
  private static final double STEP_INTERVAL_NANOS_AT_ONE_RPS = 1.5e9;

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final ClusterState cluster;
  private final FleetPermissions permissions;
  private final BooleanSupplier mayChangeFleet;
  private final Duration stepInterval;
  private final Duration idleTimeout;
  private final InstanceList instanceList;
  private final InstanceRequests requests;
  private final MachineRemoval removal;
  private final LocalHealth health = new LocalHealth(MAX_STEP_DELAY);
  private EventLoop.Timer timer;

  /**
   * The state of the cluster that determines the size of the fleet.
   *
   * @param adoption the tasks that run without a record after a loss of state
   * @param catalog supplies the machine types, null while they are not known
   */
  public record ClusterState(
      Fleet fleet,
      Ownership ownership,
      TaskAdoption adoption,
      SchedulingLoop rounds,
      DemandEstimator demand,
      Supplier<List<MachineType>> catalog) {}

  /**
   * The access of one term to the cloud.
   *
   * @param requestPrefix the prefix that distinguishes the names of this term's requests from those
   *     of all other terms
   * @param mayChangeFleet whether there is certainly no other leader that changes the fleet
   */
  public record CloudAccess(
      CloudClient client,
      ProvisioningLimits limits,
      String requestPrefix,
      BooleanSupplier mayChangeFleet) {}

  /**
   * Creates the provisioner.
   *
   * @param onListRead called after each complete read of the cloud's list
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
        Duration.ofNanos((long) (STEP_INTERVAL_NANOS_AT_ONE_RPS / limits.cloudRequestsPerSecond()));
    this.idleTimeout = limits.idleTimeout();
    this.instanceList = new InstanceList(loop, calls, cluster.fleet(), onListRead);
    this.requests =
        new InstanceRequests(loop, calls, cluster.fleet(), cloud.requestPrefix(), limits.listLag());
    this.removal =
        new MachineRemoval(
            loop, calls, instanceList, requests, cluster, permissions, limits.listLag());
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

  /** Whether a complete read of the cloud's list was started at this moment or later. */
  public boolean isListReadSince(Duration moment) {
    return instanceList.isReadSince(moment);
  }

  /**
   * Returns a copy of the set of names of the machines that the cloud last listed and that may run
   * tasks.
   */
  public Set<String> listedMachines() {
    return instanceList.usableNames();
  }

  /** Whether the cloud's list, as last read, contains the machine. */
  public boolean isListed(String machine) {
    return instanceList.contains(machine);
  }

  private void step() {
    Duration startedAt = loop.now();
    // Messages that arrived while this node was stalled or far behind may still wait unread in its
    // sockets.
    health.recordTick(startedAt, stepInterval);
    timer = loop.schedule(stepInterval, this::step);
    performAction();
    Duration pause = Durations.multiply(loop.now().minus(startedAt), PAUSE_TO_STEP_TIME_RATIO);
    // A step that made a call to the cloud is not followed by a longer pause. The timer is null if
    // the provisioner was stopped during the step.
    if (timer != null && calls.isFree() && pause.compareTo(stepInterval) > 0) {
      timer.cancel();
      Duration nextPause = pause.compareTo(MAX_STEP_PAUSE) < 0 ? pause : MAX_STEP_PAUSE;
      health.postpone(loop.now(), nextPause);
      timer = loop.schedule(nextPause, this::step);
    }
  }

  private void performAction() {
    // A partitioned leader must not delete machines: workers that now send their heartbeats to its
    // successor appear silent to it.
    if (!calls.isFree()
        || !mayChangeFleet.getAsBoolean()
        || !permissions.mayPlace().getAsBoolean()) {
      return;
    }
    Duration now = loop.now();
    if (instanceList.isReadDue(now)) {
      instanceList.read(now);
      return;
    }
    if (!instanceList.isRead()) {
      return;
    }
    removal.markFailedMachines(now, health.healthyFor(now));
    if (removal.hasMarkedMachines()) {
      removal.deleteMarkedMachines();
    } else if (requests.hasUnansweredRequest()) {
      requests.repeatUnansweredRequest();
    } else if (!cluster.adoption().isInProgress() && permissions.mayScale().getAsBoolean()) {
      // While tasks may run that no record holds, the demand for machines is not known.
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
                requests.provisioningOfferings(instanceList, types),
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
