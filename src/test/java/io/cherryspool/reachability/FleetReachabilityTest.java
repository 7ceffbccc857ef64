package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests which machines a leader counts as known and as missing. */
class FleetReachabilityTest {
  @Test
  void listedMachinesThatWereNeverSeenInTheTermCountAsMissing() {
    FleetReachability.Builder machines = new FleetReachability.Builder();
    for (int i = 0; i < 6; i++) {
      machines.addMachine("a", true, i < 4 ? ContactState.NEVER_SEEN : ContactState.REACHABLE);
      machines.addMachine("a", false, ContactState.NEVER_SEEN);
      machines.addMachine("a", true, ContactState.NEW);
    }
    assertEquals(
        6,
        machines.build().knownMachines(),
        "machines that are not listed were preempted or are new");
    assertEquals(4, machines.build().missingMachines());
  }
}
