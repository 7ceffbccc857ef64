package io.cherryspool.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A leader that lost its workers, and nothing else, stayed leader: the other nodes sent the workers
 * back to it until all leases had run out, and 2,007 tasks were killed on one day.
 */
class LostWorkersTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aLeaderThatWorkersDoNotReachMakesWayBeforeTheirLeasesRunOut(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.playQuietly(60);
    long before = simulation.leasesLost();
    String cut = simulation.cutLeaderFromWorkers(Duration.ofSeconds(60));
    simulation.playQuietly(14);
    String next = simulation.leader();
    assertNotNull(next);
    assertNotEquals(cut, next);
    simulation.playQuietly(60);
    assertEquals(before, simulation.leasesLost());
    assertEquals(next, simulation.leader(), "once is enough");
  }
}
