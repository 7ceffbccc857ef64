package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.ContactState;
import io.cherryspool.reachability.FleetReachability;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.ReachabilityFixture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * That the partition of a zone is recognised before its machines are deleted. A zone partitioned
 * for 20 s lost 208 machines, deleted one by one as they came to count as silent.
 */
class ZonePartitionTest {
  private static final Duration LATE = Duration.ofSeconds(11);

  private final List<MachineState> fleet = new ArrayList<>();
  private final Set<String> listed = new HashSet<>();

  private void addMachine(String zone, double heartbeatSecond) {
    String name = "host-" + fleet.size();
    MachineState machine = new MachineState(name, "box", zone, false, Duration.ZERO);
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(name, "127.0.0.1:1", "box", zone, false, 1, 1, 0, null, List.of());
    machine.contact().accept(heartbeat, Duration.ofMillis((long) (heartbeatSecond * 1000)));
    fleet.add(machine);
    listed.add(name);
  }

  private Set<String> partitionedAt(double second) {
    return partitionedAt(Duration.ofMillis((long) (second * 1000)), LATE);
  }

  private Set<String> partitionedAt(Duration now, Duration late) {
    FleetReachability.Builder view = new FleetReachability.Builder();
    Set<String> zones = new HashSet<>();
    for (MachineState machine : fleet) {
      zones.add(machine.zone());
      ContactState contact = machine.contactState(now.minus(late), Duration.ZERO);
      view.addMachine(machine.zone(), listed.contains(machine.name()), contact);
    }
    Reachability reachability = ReachabilityFixture.reachability("node-0", List.of("node-1"));
    reachability.evaluate(now, true, true, view.build());
    zones.removeIf(zone -> !reachability.isZoneEvictionSuspended(zone));
    return zones;
  }

  @Test
  void isKnownBeforeTheFirstOfItsMachinesCountsAsSilent() {
    for (int i = 0; i < 60; i++) {
      addMachine("a", 100 + i * 5.0 / 60);
      addMachine("b", 116 + i * 5.0 / 60);
    }
    assertEquals(Set.of(), partitionedAt(110));
    assertEquals(Set.of("a"), partitionedAt(117), "silent since 100, and deleted from 117 on");
  }

  /**
   * A dead machine that owns tasks is deleted after two heartbeat intervals, if a probe finds it
   * unresponsive.
   */
  @Test
  void isKnownBeforeTheFirstOfItsMachinesCountsAsUnresponsive() {
    Duration heartbeatInterval = Duration.ofSeconds(4);
    for (int i = 0; i < 60; i++) {
      addMachine("a", 100 + i * 4.0 / 60);
      addMachine("b", 104 + i * 4.0 / 60);
    }
    Duration late = heartbeatInterval.multipliedBy(5).dividedBy(4).plusMillis(250);
    Duration first = Duration.ofSeconds(100).plus(heartbeatInterval.multipliedBy(2));
    assertEquals(Set.of("a"), partitionedAt(first, late));
  }

  @Test
  void machinesThatDieTogetherAreNoPartition() {
    for (int i = 0; i < 40; i++) {
      addMachine("a", i < 13 ? 100 : 118);
    }
    assertEquals(Set.of(), partitionedAt(119));
  }

  @Test
  void machinesThatTheCloudTookBackAreNotListedAndNoPartition() {
    for (int i = 0; i < 40; i++) {
      addMachine("a", i < 20 ? 100 : 118);
    }
    fleet.subList(0, 20).forEach(machine -> listed.remove(machine.name()));
    assertEquals(Set.of(), partitionedAt(119));
  }
}
