package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which machines a leader knows, and which heartbeats it accepts. */
class FleetTest {
  private static final Duration NOW = Duration.ofSeconds(100);

  private final Fleet fleet = new Fleet();

  private static WorkerHeartbeat heartbeat(String address, long sequence) {
    return new WorkerHeartbeat(
        "host-1", address, "box", "a", true, 1, sequence, 0, null, List.of());
  }

  @Test
  void onlyTheNewestHeartbeatIsAccepted() {
    WorkerHeartbeat second = heartbeat("127.0.0.1:1", 2);
    assertTrue(fleet.recordHeartbeat(second, NOW));
    assertFalse(fleet.recordHeartbeat(heartbeat("127.0.0.1:1", 1), NOW));
    assertSame(second, fleet.get("host-1").latestHeartbeat());
  }

  @Test
  void aListedMachineIsKnownBeforeItsFirstHeartbeat() {
    MachineState machine = fleet.register("host-1", null, "box", "a", true, NOW);
    assertFalse(fleet.hasSentHeartbeat("host-1"));
    assertFalse(machine.hasEndpoint());
    fleet.recordHeartbeat(heartbeat("127.0.0.1:1", 1), NOW);
    assertSame(machine, fleet.get("host-1"));
    assertTrue(fleet.hasSentHeartbeat("host-1"));
    assertTrue(machine.hasEndpoint());
  }

  @Test
  void anUnusableAddressLeavesTheMachineWithoutEndpoint() {
    assertTrue(fleet.recordHeartbeat(heartbeat("nowhere", 1), NOW));
    assertFalse(fleet.get("host-1").hasEndpoint());
  }

  @Test
  void aDeletedMachineIsRemovedAndItsHeartbeatsAreIgnored() {
    fleet.markDeleted(fleet.register("host-1", null, "box", "a", true, NOW));
    fleet.removeDeleted(new Ownership(null));
    assertNull(fleet.get("host-1"));
    assertTrue(fleet.isDeleted("host-1"));
    assertFalse(fleet.recordHeartbeat(heartbeat("127.0.0.1:1", 1), NOW));
    assertEquals(0, fleet.all().size());
  }
}
