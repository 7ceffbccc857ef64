package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.store.Records;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How a leader changes the length of its lease. */
class LeaseReplacementTest {
  private final ElectionFixture cluster = new ElectionFixture();

  /** After leaders were lost again and again the lease is longer, and later as long as before. */
  @Test
  void aLeaderTakesALongerLeaseAndLaterAShorterOneWithoutLosingItsTerm() {
    cluster.startAndLead();
    long lease = cluster.leaseOfLeaderRecord();
    for (int i = 0; i < 3; i++) {
      cluster.recordLeadershipLoss();
    }
    cluster.run(2);
    assertTrue(cluster.leaseOfLeaderRecord() != lease, "the record is attached to another lease");
    assertTrue(cluster.election().mayChangeFleet());
    cluster.transport().setUnavailable(true);
    cluster.run(10);
    assertTrue(cluster.election().mayChangeFleet(), "a lease of 12 s outlasts a refusal of 10 s");
    cluster.transport().setUnavailable(false);
    for (int i = 0; i < 400; i++) {
      cluster.run(1);
      assertTrue(cluster.election().mayChangeFleet(), "while the penalty decays");
    }
    cluster.transport().setUnavailable(true);
    cluster.run(4.2);
    assertFalse(cluster.election().mayChangeFleet(), "as short as at first");
    assertEquals(1, cluster.stateStore().value(Records.TERM).path("term").intValue());
  }

  /** The transaction that moves the record is carried out, and its answer is lost. */
  @Test
  void aLostAnswerToTheMoveOfTheRecordCostsNoLeadership() {
    cluster.startAndLead();
    for (int i = 0; i < 3; i++) {
      cluster.recordLeadershipLoss();
    }
    cluster
        .transport()
        .interceptNext(ControlledTransport.COMMIT, ControlledTransport.Interception.DROP_REPLY);
    cluster
        .transport()
        .interceptNext(ControlledTransport.COMMIT, ControlledTransport.Interception.HOLD_REQUEST);
    for (int i = 0; i < 80; i++) {
      cluster.run(0.1);
      assertTrue(cluster.election().isLeader() && cluster.election().mayChangeFleet());
    }
    cluster.transport().release(ControlledTransport.COMMIT);
    cluster.run(5);
    assertTrue(cluster.election().mayChangeFleet());
    assertEquals(1, cluster.stateStore().value(Records.TERM).path("term").intValue());
  }

  /**
   * The record is moved to a shorter lease, and this node doesn't read of it: the record may be
   * gone with that lease, and another node lead, while the old lease is still valid.
   */
  @Test
  void whileTheRecordMayBeAttachedToEitherLeaseBothMustBeValid() {
    for (int i = 0; i < 40; i++) {
      cluster
          .transport()
          .interceptNext(ControlledTransport.WATCH, ControlledTransport.Interception.HOLD_REPLY);
    }
    cluster.startAndLead();
    for (int i = 0; i < 3; i++) {
      cluster.recordLeadershipLoss();
    }
    cluster.run(2);
    long longest = cluster.leaseOfLeaderRecord();
    Duration end = cluster.time().now().plusSeconds(120);
    while (cluster.leaseOfLeaderRecord() == longest && cluster.time().runNextEvent(end)) {
      // One message at a time, so that this node does not read of the move.
    }
    assertTrue(cluster.leaseOfLeaderRecord() != longest, "the lease becomes shorter again");
    cluster.transport().setUnavailable(true);
    assertTrue(cluster.election().mayChangeFleet());
    cluster.run(8.2);
    assertFalse(cluster.election().mayChangeFleet());
  }
}
