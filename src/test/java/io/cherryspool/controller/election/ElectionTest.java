package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.Records;
import org.junit.jupiter.api.Test;

/** Which term a candidate stands for, and when an expired lease shows a loss of data. */
class ElectionTest {
  private final ElectionFixture cluster = new ElectionFixture();

  /**
   * After records were lost a worker may show a term that no record holds. One election for each
   * term in between would leave its tasks without a leader for longer than its lease.
   */
  @Test
  void aCandidateStandsForATermAboveAllObservedOnes() {
    cluster.startAndLead();
    cluster.election().observeTerm(40);
    assertFalse(cluster.election().isLeader(), "a later leader was shown");
    cluster.election().stop();
    cluster.run(1);
    cluster.election().start();
    cluster.run(3);
    assertTrue(cluster.election().isLeader());
    assertEquals(41, cluster.stateStore().value(Records.TERM).path("term").intValue());
  }

  /** A lease expires early only where the state store has lost its renewal. */
  @Test
  void onlyALeaseThatTheStateStoreHasLostCountsAsExpiredPrematurely() {
    int[] prematureExpiries = {0};
    cluster.election().onPrematureLeaseExpiry(() -> prematureExpiries[0]++);
    cluster.startAndLead();
    cluster.stateStore().loseAllData();
    cluster.run(1.5);
    assertEquals(1, prematureExpiries[0]);
    cluster.run(3);
    cluster.stateStore().setDown(true);
    cluster.run(20);
    cluster.stateStore().setDown(false);
    cluster.run(5);
    assertEquals(1, prematureExpiries[0], "no lease expires early in an outage");
  }
}
