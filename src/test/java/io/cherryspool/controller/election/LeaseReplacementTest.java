package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.store.Records;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how a leader changes the length of its lease. */
class LeaseReplacementTest {
  private final ElectionFixture fixture = new ElectionFixture();

  /**
   * After repeated losses of leadership the lease is longer; once the penalty has decayed it is as
   * long as before.
   */
  @Test
  void aLeaderTakesALongerLeaseAndLaterAShorterOneWithoutLosingItsTerm() {
    fixture.startAndLead();
    long lease = fixture.leaseOfLeaderRecord();
    for (int i = 0; i < 3; i++) {
      fixture.recordLeadershipLoss();
    }
    fixture.runFor(2);
    assertTrue(fixture.leaseOfLeaderRecord() != lease, "the record is attached to another lease");
    assertTrue(fixture.election().mayChangeFleet());
    fixture.transport().setUnavailable(true);
    fixture.runFor(10);
    assertTrue(fixture.election().mayChangeFleet(), "a lease of 12 s outlasts a refusal of 10 s");
    fixture.transport().setUnavailable(false);
    for (int i = 0; i < 400; i++) {
      fixture.runFor(1);
      assertTrue(fixture.election().mayChangeFleet(), "while the penalty decays");
    }
    fixture.transport().setUnavailable(true);
    fixture.runFor(4.2);
    assertFalse(fixture.election().mayChangeFleet(), "the lease is as short as at the beginning");
    assertEquals(1, fixture.stateStore().value(Records.TERM).path("term").intValue());
  }

  /** The state store carries out the transaction that moves the record, but its answer is lost. */
  @Test
  void aLeaderRemainsLeaderIfTheAnswerToTheMoveOfItsRecordIsLost() {
    fixture.startAndLead();
    for (int i = 0; i < 3; i++) {
      fixture.recordLeadershipLoss();
    }
    fixture
        .transport()
        .interceptNext(ControlledTransport.COMMIT, ControlledTransport.Interception.DROP_REPLY);
    fixture
        .transport()
        .interceptNext(ControlledTransport.COMMIT, ControlledTransport.Interception.HOLD_REQUEST);
    for (int i = 0; i < 80; i++) {
      fixture.runFor(0.1);
      assertTrue(fixture.election().isLeader() && fixture.election().mayChangeFleet());
    }
    fixture.transport().release(ControlledTransport.COMMIT);
    fixture.runFor(5);
    assertTrue(fixture.election().mayChangeFleet());
    assertEquals(1, fixture.stateStore().value(Records.TERM).path("term").intValue());
  }

  /**
   * The record is moved to a shorter lease, but this node doesn't read the change. The shorter
   * lease may expire, and the record with it, so that another node leads while the longer lease is
   * still valid.
   */
  @Test
  void whileTheRecordMayBeAttachedToEitherLeaseBothMustBeValid() {
    for (int i = 0; i < 40; i++) {
      fixture
          .transport()
          .interceptNext(ControlledTransport.WATCH, ControlledTransport.Interception.HOLD_REPLY);
    }
    fixture.startAndLead();
    for (int i = 0; i < 3; i++) {
      fixture.recordLeadershipLoss();
    }
    fixture.runFor(2);
    long longerLease = fixture.leaseOfLeaderRecord();
    Duration end = fixture.time().now().plusSeconds(120);
    while (fixture.leaseOfLeaderRecord() == longerLease && fixture.time().runNextEvent(end)) {
      // Runs one event at a time, so that this node does not read the move.
    }
    assertTrue(fixture.leaseOfLeaderRecord() != longerLease, "the lease becomes shorter again");
    fixture.transport().setUnavailable(true);
    assertTrue(fixture.election().mayChangeFleet());
    fixture.runFor(8.2);
    assertFalse(fixture.election().mayChangeFleet());
  }
}
