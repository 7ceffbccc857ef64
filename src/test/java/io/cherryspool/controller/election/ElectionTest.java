package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.store.Records;
import org.junit.jupiter.api.Test;

/**
 * Tests the term for which a candidate runs, and when an expired lease indicates a loss of data.
 */
class ElectionTest {
  private final ElectionFixture fixture = new ElectionFixture();

  /**
   * After a loss of records, a worker may have observed a term that no record contains. If the
   * candidate ran for each term in between, one after the other, the worker's tasks would be
   * without a leader for longer than the worker's lease lasts.
   */
  @Test
  void aCandidateRunsForATermAboveAllObservedTerms() {
    fixture.startAndLead();
    fixture.election().observeTerm(40);
    assertFalse(fixture.election().isLeader(), "a later term was observed");
    fixture.election().stop();
    fixture.runFor(1);
    fixture.election().start();
    fixture.runFor(3);
    assertTrue(fixture.election().isLeader());
    assertEquals(41, fixture.stateStore().value(Records.TERM).path("term").intValue());
  }

  /** A lease expires early only if the state store has lost the lease or its renewal. */
  @Test
  void onlyALeaseThatTheStateStoreHasLostCountsAsExpiredPrematurely() {
    int[] prematureExpiries = {0};
    fixture.election().onPrematureLeaseExpiry(() -> prematureExpiries[0]++);
    fixture.startAndLead();
    fixture.stateStore().loseAllData();
    fixture.runFor(1.5);
    assertEquals(1, prematureExpiries[0]);
    fixture.runFor(3);
    fixture.stateStore().setDown(true);
    fixture.runFor(20);
    fixture.stateStore().setDown(false);
    fixture.runFor(5);
    assertEquals(1, prematureExpiries[0], "no lease expires early in an outage");
  }
}
