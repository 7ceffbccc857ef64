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

/** What a rebuild restores, and what of the lost incarnation can no longer interfere. */
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
    assertEquals(17, node.replica().term(), "above every known term");
    assertFalse(node.replica().isPartialRebuild(), "the leader knows of every start");
  }

  /** A transaction of the old incarnation that comes after the next one was begun is refused. */
  @Test
  void theFenceStopsTransactionsOfTheOldIncarnation() {
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
        fixture.store().value(Records.jobKey("req-000002")), "nothing is added behind the fence");
    assertFalse(node.recovery().isServing());
  }

  /** A node that detects no losses would read and change records that are over. */
  @Test
  void aNodeWithoutRecoveryDoesNotServeRebuiltRecords() {
    Node node = fixture.newServingNode();
    RecoveryFixture.Connection connection = fixture.newConnection();
    Replica plain = connection.newReplica();
    plain.start();
    fixture.run(1);
    assertTrue(plain.isLoaded(), "before any loss both read the same records");
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
   * Bundles are never rewritten. A progress record that is only in one must not come back when it
   * was removed and all is read again, nor may one that was changed since.
   */
  @Test
  void whatIsRemovedAfterARebuildStaysRemoved() {
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
    assertEquals(0, node.replica().job(JOB).shard(0).version(), "it is in a bundle only");
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
    assertTrue(changes.join().applied());
    assertEquals(1, node.replica().activeJobs().size());
    Node other = fixture.newNode(RecordsSnapshot.EMPTY);
    fixture.run(5);
    assertTrue(other.recovery().isServing());
    assertEquals(1, other.replica().activeJobs().size(), "the one that has ended has nothing left");
    assertNull(other.replica().job(JOB).shard(0).shard().ownedAttempt(0));
    assertEquals(1, other.replica().job(JOB).shard(0).shard().history(0).failures());
  }

  /** After a loss the terms given out need not all be known, and a name must not be used again. */
  @Test
  void namesOfInstanceRequestsDifferAfterARebuild() {
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
