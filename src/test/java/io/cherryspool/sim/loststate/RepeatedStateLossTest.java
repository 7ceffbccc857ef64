package io.cherryspool.sim.loststate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.sim.cluster.RandomizedRun;
import io.cherryspool.sim.cluster.SimulatedCluster;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random runs in which the state store loses its data again and again, among other faults. */
class RepeatedStateLossTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void theRulesHoldAndEverythingEnds(long seed) {
    new RandomizedRun(SimulatedCluster.withRecovery(seed, 3 + (int) seed % 3))
        .runWithStateLosses(240, 240);
  }

  /** In runs with every other fault nothing is taken for a loss. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noOtherFaultIsTakenForALoss(long seed) {
    SimulatedCluster cluster = SimulatedCluster.withRecovery(seed, 3 + (int) seed % 3);
    new RandomizedRun(cluster).run(240, 240);
    assertEquals(0, cluster.stateStore().value("c/incarnation").path("number").intValue());
  }
}
