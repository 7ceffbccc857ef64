package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.cluster.RandomizedRun;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The tasks of dead machines waited for three heartbeat intervals and more, and short urgent jobs
 * lost their deadlines by that alone. With no machine ever taken for unresponsive each seed fails,
 * as the machine still runs.
 */
class DeadMachineTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aMachineThatDoesNotAnswerWhenAskedIsGivenUpSoon(long seed) {
    RandomizedRun run = new RandomizedRun(seed);
    run.runWithoutFaults(60);
    String machine = run.cluster().fleet().killBusiestMachine();
    run.runWithoutFaults(1);
    assertTrue(run.cluster().cloud().isRunning(machine));
    run.runWithoutFaults(5.8);
    assertFalse(run.cluster().cloud().isRunning(machine));
  }
}
