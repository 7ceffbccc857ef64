package io.cherryspool.sim.faults;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.cluster.RandomizedRun;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The tasks of dead machines waited for three reports' time and more, and short urgent jobs lost
 * their deadlines by that alone. With no machine ever taken for mute each seed fails, as the
 * machine is still rented.
 */
class DeadMachineTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aMachineThatDoesNotAnswerWhenAskedIsGivenUpSoon(long seed) {
    RandomizedRun simulation = new RandomizedRun(seed);
    simulation.playQuietly(60);
    String machine = simulation.cluster().fleet().killBusiest();
    simulation.playQuietly(1);
    assertTrue(simulation.cluster().cloud().isRunning(machine));
    simulation.playQuietly(5.8);
    assertFalse(simulation.cluster().cloud().isRunning(machine));
  }
}
