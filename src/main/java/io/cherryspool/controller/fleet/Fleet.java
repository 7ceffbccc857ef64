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

/** The machines that a leader knows from their messages and from the cloud's list. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  private final Map<String, MachineState> machines = new LinkedHashMap<>();

  /**
   * Machines whose deletion is confirmed. The list shows them a while longer; names are not reused.
   */
  private final Set<String> gone = new HashSet<>();

  public MachineState get(String name) {
    return machines.get(name);
  }

  public Collection<MachineState> all() {
    return Collections.unmodifiableCollection(machines.values());
  }

  /** Whether the machine has sent any message in this term. */
  public boolean hasSentHeartbeat(String name) {
    MachineState machine = machines.get(name);
    return machine != null && machine.hasHeartbeat();
  }

  public boolean isDeleted(String name) {
    return gone.contains(name);
  }

  public MachineState register(
      String name, String address, String type, String zone, boolean spot, Duration now) {
    MachineState machine =
        machines.computeIfAbsent(name, key -> new MachineState(name, type, zone, spot, now));
    if (!machine.hasEndpoint() && address != null) {
      try {
        machine.setEndpoint(Endpoint.parse(address));
      } catch (IllegalArgumentException e) {
        LOG.warn("machine {} has no usable address: {}", name, e.getMessage());
      }
    }
    return machine;
  }

  public void markDeleted(MachineState machine) {
    machine.markDeleted();
    gone.add(machine.name());
  }

  /** Drops the states of machines that are gone and own nothing any more. */
  public void removeDeleted(Ownership ownership) {
    for (Iterator<MachineState> all = machines.values().iterator(); all.hasNext(); ) {
      MachineState machine = all.next();
      if (machine.isDeleted() && ownership.attemptsOn(machine.name()).isEmpty()) {
        all.remove();
      }
    }
  }

  /** Takes a worker's message in; null if the machine is gone, so that the message is history. */
  public MachineState accept(WorkerHeartbeat report, Duration now) {
    if (gone.contains(report.machine())) {
      return null;
    }
    MachineState machine =
        register(
            report.machine(), report.address(), report.type(), report.zone(), report.isSpot(), now);
    WorkerHeartbeat before = machine.latestHeartbeat();
    if (machine.contact().accept(report, now) && report.hasChangedSince(before)) {
      machine.history().recordTasks(report, now);
    }
    return machine;
  }
}
