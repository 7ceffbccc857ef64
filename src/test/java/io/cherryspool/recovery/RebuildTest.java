package io.cherryspool.recovery;

import static io.cherryspool.recovery.RecoveryFixture.JOB;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Outcome;
import io.cherryspool.model.Shard;
import io.cherryspool.recovery.RecoveryFixture.Node;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector.Loss;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests what a rebuild restores, and that transactions and records of earlier incarnations have no
 * effect.
 */
class RebuildTest {
  private final RecoveryFixture fixture = new RecoveryFixture();

  @Test
  void allRecordsAreRebuiltFromTheReplicaAfterTheStoreWasEmptied() {
    Node node = fixture.newServingNode();
    node.client()
        .commit(
            Map.of(),
            List.of(
                new StateStoreProtocol.Change(
                    Records.outcomeKey(JOB), Records.encodeOutcome(Outcome.CANCELLED), 0)));
    fixture.run(1);
    node.becomeSoleLeader();
    node.learnTerm(17);
    fixture.store().loseAllData();
    node.replica().refresh();
    fixture.run(0.1);
    assertEquals(Optional.of(Loss.REVISION_WENT_BACK), node.recovery().statistics().lastLoss());
    assertFalse(node.recovery().isServing());
    fixture.run(15);
    assertTrue(node.recovery().isServing());
    assertEquals(Outcome.CANCELLED, node.replica().job(JOB).outcome());
    assertEquals(17, node.replica().term(), "the highest known term");
    assertFalse(node.replica().isPartialRebuild(), "the leader knows every start");
  }

  /**
   * A transaction of an incarnation that arrives after the next incarnation has begun is rejected.
   */
  @Test
  void transactionsOfAnEarlierIncarnationAreRejected() {
    Node node = fixture.newServingNode();
    node.transport().interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    CompletableFuture<Boolean> late = node.submit("req-000002");
    Incarnation next =
        Incarnation.newRebuild("other", 1, "n", "node-1", Incarnation.HistoryPosition.NONE, false);
    fixture.replaceIncarnation(next);
    node.transport().release(ControlledTransport.COMMIT);
    fixture.run(0.3);
    assertTrue(late.isCompletedExceptionally());
    assertNull(
        fixture.store().value(Records.jobKey("req-000002")), "the late transaction is not applied");
    assertFalse(node.recovery().isServing());
  }

  /** A node without recovery would read and change the records of an earlier incarnation. */
  @Test
  void aNodeWithoutRecoveryDoesNotServeRebuiltRecords() {
    Node node = fixture.newServingNode();
    RecoveryFixture.Connection connection = fixture.newConnection();
    Replica plain = connection.newReplica();
    plain.start();
    fixture.run(1);
    assertTrue(plain.isLoaded(), "before any loss, both replicas read the same records");
    assertNotNull(plain.job(JOB));
    fixture.store().loseAllData();
    fixture.run(25);
    assertTrue(node.recovery().isServing());
    assertFalse(plain.isLoaded());
    Replica restarted = connection.newReplica();
    restarted.start();
    fixture.run(2);
    assertFalse(restarted.isLoaded());
  }

  /**
   * Bundles are never rewritten. If a progress record that is only in a bundle is removed or
   * changed, a reload must not restore it from the bundle.
   */
  @Test
  void progressRecordsRemovedAfterARebuildStayRemoved() {
    Node node = fixture.newServingNode();
    node.submit("req-000002");
    for (String id : List.of(JOB, "req-000002")) {
      Shard owned = Shard.EMPTY.edit().assign(0, "host-1", 1, 5).build();
      node.client()
          .commit(
              Map.of(),
              List.of(
                  new StateStoreProtocol.Change(
                      Records.progressKey(id, 0), Records.encodeShard(owned), 0)));
    }
    fixture.run(0.5);
    fixture.store().loseAllData();
    fixture.run(15);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.replica().job(JOB).shard(0).version(), "the record is only in a bundle");
    Shard ended = node.replica().job(JOB).shard(0).shard().edit().release(0, true).build();
    CompletableFuture<StateStoreClient.CommitResult> changes =
        node.client()
            .commit(
                Map.of(Records.progressKey(JOB, 0), 0L, Records.progressKey("req-000002", 0), 0L),
                List.of(
                    new StateStoreProtocol.Change(
                        Records.progressKey(JOB, 0), Records.encodeShard(ended), 0),
                    new StateStoreProtocol.Change(
                        Records.outcomeKey("req-000002"), Records.encodeOutcome(Outcome.DONE), 0),
                    new StateStoreProtocol.Change(Records.progressKey("req-000002", 0), null, 0)));
    fixture.run(0.5);
    assertTrue(changes.join().isApplied());
    assertEquals(1, node.replica().activeJobs().size());
    Node other = fixture.newNode(RecordsSnapshot.EMPTY);
    fixture.run(5);
    assertTrue(other.recovery().isServing());
    assertEquals(1, other.replica().activeJobs().size(), "the ended job has no progress records");
    assertNull(other.replica().job(JOB).shard(0).shard().ownedAttempt(0));
    assertEquals(1, other.replica().job(JOB).shard(0).shard().history(0).failures());
  }

  /**
   * A name must not be used twice, but after a loss some terms that earlier names contain may be
   * unknown.
   */
  @Test
  void thePrefixOfInstanceRequestsDiffersAfterEachRebuild() {
    Node node = fixture.newServingNode();
    String before = node.replica().instanceRequestPrefix();
    fixture.store().loseAllData();
    fixture.run(15);
    String first = node.replica().instanceRequestPrefix();
    fixture.store().loseAllData();
    fixture.run(15);
    String second = node.replica().instanceRequestPrefix();
    assertTrue(node.recovery().isServing());
    assertEquals(3, List.of(before, first, second).stream().distinct().count());
  }
}
