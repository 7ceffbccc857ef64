package io.cherryspool.controller.provisioning;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.controller.fleet.FleetPermissions;
import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import io.cherryspool.model.Instance;
import io.cherryspool.model.MachineType;
import io.cherryspool.reachability.MachineEvictionRule;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes machines. Marks those that have failed, and repeats the deletion of all marked machines
 * until the cloud confirms it. Used on the event loop only.
 */
final class MachineRemoval {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRemoval.class);
  private static final int MAX_MACHINES_PER_CALL = 100;

  /** The longest boot time of a machine whose type is not known. */
  private static final Duration DEFAULT_BOOT_LIMIT = Duration.ofMinutes(5);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final InstanceList list;
  private final InstanceRequests requests;
  private final Provisioner.ClusterState cluster;
  private final FleetPermissions permissions;
  private final Duration listLag;
  private final Set<String> markedMachines = new LinkedHashSet<>();

  MachineRemoval(
      EventLoop loop,
      CloudCallSlot calls,
      InstanceList list,
      InstanceRequests requests,
      Provisioner.ClusterState cluster,
      FleetPermissions permissions,
      Duration listLag) {
    this.loop = loop;
    this.calls = calls;
    this.list = list;
    this.requests = requests;
    this.cluster = cluster;
    this.permissions = permissions;
    this.listLag = listLag;
  }

  /**
   * Marks the machines that have failed, only for reasons that are valid even if the cloud's list
   * is out of date.
   *
   * @param healthyFor for how long this node's steps have run on time; a longer silence of a
   *     machine may be caused by this node
   */
  void markFailedMachines(Duration now, Duration healthyFor) {
    for (Instance instance : list.all()) {
      markFailedInstance(instance);
    }
    for (MachineState machine : cluster.fleet().all()) {
      if (!machine.isDeleted()) {
        markFailedMachine(machine, now, healthyFor);
      }
    }
  }

  private void markFailedInstance(Instance instance) {
    Fleet fleet = cluster.fleet();
    if (fleet.isDeleted(instance.name())) {
      return;
    }
    if (instance.status() == Instance.Status.FAILED) {
      markForDeletion(instance.name(), "it has failed");
    } else if (instance.status() == Instance.Status.BOOTING
        && !fleet.hasSentHeartbeat(instance.name())
        && instance.age().compareTo(bootLimit(instance.type())) > 0) {
      markForDeletion(
          instance.name(), "it has been booting for " + instance.age().toSeconds() + " s");
    }
  }

  private void markFailedMachine(MachineState machine, Duration now, Duration healthyFor) {
    boolean isIdle =
        cluster.ownership().ownedTasksOn(machine.name()).isEmpty()
            && !cluster.adoption().hasUnknownUsage(machine);
    machine.setIdle(isIdle, now);
    Duration silentFor = now.minus(machine.lastSeenAt());
    MachineEvictionRule.Observation observation =
        new MachineEvictionRule.Observation(
            silentFor,
            machine.contact().notReceivingFor(now),
            !isIdle,
            machine.contact().isUnresponsive(),
            list.contains(machine.name())
                && permissions.isZoneEvictionSuspended().test(machine.zone()));
    Optional<MachineEvictionRule.EvictionReason> evictionReason =
        permissions.evictionRule().evaluate(observation, healthyFor);
    if (evictionReason.isPresent()) {
      markForDeletion(
          machine.name(),
          evictionReason.get() == MachineEvictionRule.EvictionReason.NOT_RECEIVING
              ? "it sends heartbeats and does not receive the replies"
              : "it has been silent for " + silentFor.toSeconds() + " s");
    } else if (machine.history().isFaulty()) {
      markForDeletion(machine.name(), "several consecutive task failures were attributed to it");
    }
  }

  private Duration bootLimit(String type) {
    List<MachineType> types = cluster.catalog().get();
    if (types != null) {
      for (MachineType item : types) {
        if (item.name().equals(type)) {
          return Durations.multiply(item.bootTime(), 3).plus(Durations.multiply(listLag, 2));
        }
      }
    }
    return DEFAULT_BOOT_LIMIT;
  }

  /** Marks the machine for deletion. Only the first reason is logged. */
  void markForDeletion(String name, String reason) {
    if (markedMachines.add(name)) {
      LOG.info("deleting machine={}: {}", name, reason);
      MachineState machine = cluster.fleet().get(name);
      if (machine != null) {
        machine.markForDeletion();
      }
    }
  }

  /** Whether the deletion of any marked machine is not confirmed yet. */
  boolean hasMarkedMachines() {
    return !markedMachines.isEmpty();
  }

  /**
   * Requests the deletion of the machines that were marked first, at most {@link
   * #MAX_MACHINES_PER_CALL}. They stay marked until the cloud confirms the deletion.
   */
  void deleteMarkedMachines() {
    List<String> names = new ArrayList<>(markedMachines);
    List<String> batch = names.subList(0, Math.min(names.size(), MAX_MACHINES_PER_CALL));
    calls
        .acquire()
        .deleteInstances(batch)
        .whenComplete(
            (nothing, failure) -> {
              calls.release();
              if (failure != null) {
                LOG.debug(
                    "deleting machines failed; the request will be repeated: {}",
                    failure.toString());
                return;
              }
              recordDeleted(batch);
            });
  }

  private void recordDeleted(List<String> names) {
    Fleet fleet = cluster.fleet();
    Duration now = loop.now();
    for (String name : names) {
      markedMachines.remove(name);
      requests.removeExpected(name);
      fleet.markDeleted(fleet.register(name, null, "", "", false, now));
    }
    cluster.rounds().requestRound();
  }
}
