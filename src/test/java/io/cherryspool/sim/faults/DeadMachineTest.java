package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.cluster.RandomizedRun;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a dead machine is detected and deleted soon. In an earlier version, the tasks of a
 * dead machine waited for at least three heartbeat intervals before they could run again. This
 * delay alone made short urgent jobs miss their deadlines. Without the detection of unresponsive
 * machines each seed fails, because the machine is not deleted in time.
 */
class DeadMachineTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void deadMachineIsDeletedWithinSevenSeconds(long seed) {
    RandomizedRun run = new RandomizedRun(seed);
    run.runWithoutFaults(60);
    String machine = run.cluster().fleet().killBusiestMachine();
    run.runWithoutFaults(1);
    assertTrue(run.cluster().cloud().isRunning(machine));
    run.runWithoutFaults(5.8);
    assertFalse(run.cluster().cloud().isRunning(machine));
  }
}
