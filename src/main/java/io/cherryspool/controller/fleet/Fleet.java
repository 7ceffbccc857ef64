package io.cherryspool.controller.fleet;

import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.http.Endpoint;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that a leader knows from their heartbeats and from the cloud's list, by name. Used
 * on the event loop only.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  private final Map<String, MachineState> machines = new LinkedHashMap<>();

  /**
   * The names of machines whose deletion is confirmed. The cloud's list shows such machines for
   * some time longer. Names are not reused.
   */
  private final Set<String> deletedNames = new HashSet<>();

  /**
   * Returns the state of the machine, null if it is not known or was removed after its deletion.
   */
  public MachineState get(String name) {
    return machines.get(name);
  }

  /**
   * Returns all machines in the order in which they became known, including deleted ones that still
   * own tasks.
   */
  public Collection<MachineState> all() {
    return Collections.unmodifiableCollection(machines.values());
  }

  /** Whether the machine is known and has sent a heartbeat in this term. */
  public boolean hasSentHeartbeat(String name) {
    MachineState machine = machines.get(name);
    return machine != null && machine.hasHeartbeat();
  }

  /** Whether the machine's deletion was confirmed in this term. */
  public boolean isDeleted(String name) {
    return deletedNames.contains(name);
  }

  /**
   * Returns the state of the machine, which is created if the machine was not known.
   *
   * @param address the address at which its worker accepts calls, null if unknown; ignored if the
   *     machine already has one
   */
  public MachineState register(
      String name, String address, String type, String zone, boolean isSpot, Duration now) {
    MachineState machine =
        machines.computeIfAbsent(name, key -> new MachineState(name, type, zone, isSpot, now));
    if (!machine.hasEndpoint() && address != null) {
      try {
        machine.setEndpoint(Endpoint.parse(address));
      } catch (IllegalArgumentException e) {
        LOG.warn(
            "machine={} gets no direct calls, its worker address is invalid: {}",
            name,
            e.getMessage());
      }
    }
    return machine;
  }

  /** Records that the cloud has confirmed the machine's deletion. */
  public void markDeleted(MachineState machine) {
    machine.markDeleted();
    deletedNames.add(machine.name());
  }

  /** Removes the states of deleted machines that own no tasks any more. */
  public void removeDeleted(Ownership ownership) {
    for (Iterator<MachineState> all = machines.values().iterator(); all.hasNext(); ) {
      MachineState machine = all.next();
      if (machine.isDeleted() && ownership.ownedTasksOn(machine.name()).isEmpty()) {
        all.remove();
      }
    }
  }

  /**
   * Records a worker's heartbeat, if it is the newest one of a machine that is not deleted; returns
   * whether it is. An older heartbeat is superseded and ignored.
   */
  public boolean recordHeartbeat(WorkerHeartbeat heartbeat, Duration now) {
    if (deletedNames.contains(heartbeat.machine())) {
      return false;
    }
    MachineState machine =
        register(
            heartbeat.machine(),
            heartbeat.address(),
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.isSpot(),
            now);
    WorkerHeartbeat previous = machine.latestHeartbeat();
    if (!machine.contact().recordHeartbeat(heartbeat, now)) {
      return false;
    }
    if (heartbeat.hasChangedSince(previous)) {
      machine.history().recordTasks(heartbeat, now);
    }
    return true;
  }
}
