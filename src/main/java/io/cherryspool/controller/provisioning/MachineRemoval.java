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
 * Deletes machines: decides which of them have failed, and deletes these and the ones marked for
 * another reason, until the cloud has confirmed it. Used on the event loop only.
 */
final class MachineRemoval {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRemoval.class);
  private static final int MAX_MACHINES_PER_CALL = 100;

  /** How long a machine of a type that is not known may boot. */
  private static final Duration DEFAULT_BOOT_LIMIT = Duration.ofMinutes(5);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final InstanceList list;
  private final InstanceRequests requests;
  private final Provisioner.ClusterState cluster;
  private final FleetPermissions permissions;
  private final Duration listLag;
  private final Set<String> marked = new LinkedHashSet<>();

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
   * Marks the machines that have failed, and only for reasons that hold whatever a late list says.
   *
   * @param steadyFor for how long this node has kept up; a longer silence may be its own
   */
  void markFailed(Duration now, Duration steadyFor) {
    for (Instance item : list.all()) {
      markFailedInstance(item);
    }
    for (MachineState machine : cluster.fleet().all()) {
      if (!machine.isDeleted()) {
        markFailedMachine(machine, now, steadyFor);
      }
    }
  }

  private void markFailedInstance(Instance item) {
    Fleet fleet = cluster.fleet();
    if (fleet.isDeleted(item.name())) {
      return;
    }
    if (item.status() == Instance.Status.FAILED) {
      markForDeletion(item.name(), "it has failed");
    } else if (item.status() == Instance.Status.BOOTING
        && !fleet.hasSentHeartbeat(item.name())
        && item.age().compareTo(bootLimit(item.type())) > 0) {
      markForDeletion(item.name(), "it has been booting for " + item.age().toSeconds() + " s");
    }
  }

  private void markFailedMachine(MachineState machine, Duration now, Duration steadyFor) {
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
    Optional<MachineEvictionRule.EvictionReason> fault =
        permissions.evictionRule().evaluate(observation, steadyFor);
    if (fault.isPresent()) {
      markForDeletion(
          machine.name(),
          fault.get() == MachineEvictionRule.EvictionReason.NOT_RECEIVING
              ? "it sends heartbeats and does not receive the replies"
              : "it has been silent for " + silentFor.toSeconds() + " s");
    } else if (machine.history().isFaulty()) {
      markForDeletion(machine.name(), "tasks of several attempts failed on it");
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

  /** Decides to delete the machine, for the first reason given. */
  void markForDeletion(String name, String reason) {
    if (marked.add(name)) {
      LOG.info("deleting machine={}: {}", name, reason);
      MachineState machine = cluster.fleet().get(name);
      if (machine != null) {
        machine.markForDeletion();
      }
    }
  }

  /** Whether any marked machine is not confirmed to be deleted. */
  boolean hasMarked() {
    return !marked.isEmpty();
  }

  /** Asks the cloud to delete the machines marked first; they stay marked until it confirms. */
  void deleteMarked() {
    List<String> names = new ArrayList<>(marked);
    List<String> batch = names.subList(0, Math.min(names.size(), MAX_MACHINES_PER_CALL));
    calls
        .acquire()
        .deleteInstances(batch)
        .whenComplete(
            (nothing, failure) -> {
              calls.release();
              if (failure != null) {
                LOG.debug("deleting failed, to be repeated: {}", failure.toString());
                return;
              }
              recordDeleted(batch);
            });
  }

  private void recordDeleted(List<String> names) {
    Fleet fleet = cluster.fleet();
    Duration now = loop.now();
    for (String name : names) {
      marked.remove(name);
      requests.removeExpected(name);
      fleet.markDeleted(fleet.register(name, null, "", "", false, now));
    }
    cluster.rounds().requestRound();
  }
}
