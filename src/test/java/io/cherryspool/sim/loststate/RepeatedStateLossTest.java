package io.cherryspool.sim.loststate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cherryspool.sim.cluster.RandomizedRun;
import io.cherryspool.sim.cluster.SimulatedCluster;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests random runs in which the state store loses its data repeatedly, among other faults. */
class RepeatedStateLossTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void rulesHoldAndAllJobsEndUnderRepeatedStateLoss(long seed) {
    new RandomizedRun(SimulatedCluster.withRecovery(seed, 3 + (int) seed % 3))
        .runWithStateLosses(240, 240);
  }

  /** Runs with every kind of fault except the loss of data never lead to a rebuild. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void otherFaultsAreNotMistakenForStateLoss(long seed) {
    SimulatedCluster cluster = SimulatedCluster.withRecovery(seed, 3 + (int) seed % 3);
    new RandomizedRun(cluster).run(240, 240);
    assertEquals(0, cluster.stateStore().value("c/incarnation").path("number").intValue());
  }
}
