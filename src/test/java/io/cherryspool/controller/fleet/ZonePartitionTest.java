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
 * Tests that a partitioned zone is detected before its machines are deleted. Guards against a
 * failure in which a zone that was partitioned for 20 s lost 208 machines, which were deleted one
 * by one as each was found silent.
 */
class ZonePartitionTest {
  private static final Duration LATE_AFTER = Duration.ofSeconds(11);

  private final List<MachineState> fleet = new ArrayList<>();
  private final Set<String> listed = new HashSet<>();

  private void addMachine(String zone, double heartbeatSecond) {
    String name = "host-" + fleet.size();
    MachineState machine = new MachineState(name, "box", zone, false, Duration.ZERO);
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(name, "127.0.0.1:1", "box", zone, false, 1, 1, 0, null, List.of());
    machine
        .contact()
        .recordHeartbeat(heartbeat, Duration.ofMillis((long) (heartbeatSecond * 1000)));
    fleet.add(machine);
    listed.add(name);
  }

  private Set<String> partitionedZonesAt(double second) {
    return partitionedZonesAt(Duration.ofMillis((long) (second * 1000)), LATE_AFTER);
  }

  private Set<String> partitionedZonesAt(Duration now, Duration lateAfter) {
    FleetReachability.Builder view = new FleetReachability.Builder();
    Set<String> zones = new HashSet<>();
    for (MachineState machine : fleet) {
      zones.add(machine.zone());
      ContactState contact = machine.contactState(now.minus(lateAfter), Duration.ZERO);
      view.addMachine(machine.zone(), listed.contains(machine.name()), contact);
    }
    Reachability reachability = ReachabilityFixture.reachability("node-0", List.of("node-1"));
    reachability.evaluate(now, true, true, view.build());
    zones.removeIf(zone -> !reachability.isZoneEvictionSuspended(zone));
    return zones;
  }

  @Test
  void aPartitionIsDetectedBeforeItsFirstMachineCountsAsSilent() {
    for (int i = 0; i < 60; i++) {
      addMachine("a", 100 + i * 5.0 / 60);
      addMachine("b", 116 + i * 5.0 / 60);
    }
    assertEquals(Set.of(), partitionedZonesAt(110));
    assertEquals(
        Set.of("a"),
        partitionedZonesAt(117),
        "silent since second 100, and would be deleted from second 117 on");
  }

  /**
   * A dead machine that owns tasks is deleted after two heartbeat intervals, if a probe finds it
   * unresponsive.
   */
  @Test
  void aPartitionIsDetectedBeforeItsFirstMachineCountsAsUnresponsive() {
    Duration heartbeatInterval = Duration.ofSeconds(4);
    for (int i = 0; i < 60; i++) {
      addMachine("a", 100 + i * 4.0 / 60);
      addMachine("b", 104 + i * 4.0 / 60);
    }
    Duration lateAfter = heartbeatInterval.multipliedBy(5).dividedBy(4).plusMillis(250);
    Duration firstUnresponsiveAt = Duration.ofSeconds(100).plus(heartbeatInterval.multipliedBy(2));
    assertEquals(Set.of("a"), partitionedZonesAt(firstUnresponsiveAt, lateAfter));
  }

  @Test
  void simultaneousMachineFailuresAreNotAPartition() {
    for (int i = 0; i < 40; i++) {
      addMachine("a", i < 13 ? 100 : 118);
    }
    assertEquals(Set.of(), partitionedZonesAt(119));
  }

  @Test
  void unlistedMachinesThatTheCloudTookBackAreNotAPartition() {
    for (int i = 0; i < 40; i++) {
      addMachine("a", i < 20 ? 100 : 118);
    }
    fleet.subList(0, 20).forEach(machine -> listed.remove(machine.name()));
    assertEquals(Set.of(), partitionedZonesAt(119));
  }
}
