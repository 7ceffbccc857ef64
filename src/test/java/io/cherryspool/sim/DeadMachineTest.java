package io.cherryspool.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
    Simulation simulation = new Simulation(seed);
    simulation.playQuietly(60);
    String machine = simulation.cluster().killBusiestMachine();
    simulation.playQuietly(1);
    assertTrue(simulation.cluster().rented(machine));
    simulation.playQuietly(5.8);
    assertFalse(simulation.cluster().rented(machine));
  }
}
