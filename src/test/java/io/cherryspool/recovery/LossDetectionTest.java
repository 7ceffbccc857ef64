package io.cherryspool.recovery;

import static io.cherryspool.recovery.RecoveryFixture.JOB;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.recovery.RecoveryFixture.Node;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RollbackDetector.Loss;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests that each kind of evidence alone suffices to detect a loss, and which events are no loss.
 */
class LossDetectionTest {
  private final RecoveryFixture fixture = new RecoveryFixture();

  @Test
  void anOutageAndACompactedHistoryAreNoLoss() {
    Node node = fixture.newServingNode();
    fixture.store().setDown(true);
    fixture.run(20);
    fixture.store().setDown(false);
    fixture.run(3);
    node.transport().replaceNextReply(ControlledTransport.WATCH, 410, "{}");
    fixture.run(12);
    node.transport().release(ControlledTransport.WATCH);
    fixture.run(20);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.recovery().statistics().losses());
  }

  /**
   * A transaction that is applied in another history must not be acknowledged to its user, because
   * a rebuild will replace that history.
   */
  @Test
  void anAnswerFromAnotherHistoryIsNotPassedToTheUser() {
    Node node = fixture.newServingNode();
    for (int i = 2; i < 9; i++) {
      node.submit(String.format("req-%06d", i));
    }
    fixture.run(1);
    long before = node.replica().revision();
    fixture.store().loseAllData();
    // Another node has installed the cluster again, and the identity record has by chance the same
    // content and version.
    Incarnation same = node.client().keySpace().incarnation();
    fixture.replaceIncarnation(same);
    CompletableFuture<Boolean> answer = node.submit("req-000100");
    fixture.run(0.05);
    assertTrue(answer.isCompletedExceptionally(), "the request fails, so that its user retries");
    assertTrue(before > 3);
    assertEquals(Optional.of(Loss.REVISION_WENT_BACK), node.recovery().statistics().lastLoss());
  }

  /**
   * The state store is rolled back by one change. Then a node that retains no records writes until
   * the revision is higher than before.
   */
  @Test
  void aRollbackIsDetectedByTheLastChangeEvenIfTheRevisionHasCaughtUp() {
    Node node = fixture.newServingNode();
    FakeStateStore.Backup saved = fixture.store().backup();
    node.submit("req-000002");
    fixture.run(0.5);
    assertNotNull(node.replica().job("req-000002"));
    fixture.store().restore(saved);
    for (int i = 0; i < 3; i++) {
      fixture.writeByAnotherNode("c/x" + i);
    }
    CompletableFuture<Void> reading = node.replica().refresh();
    fixture.run(0.1);
    assertTrue(
        reading.isCompletedExceptionally(), "no user is answered from the rolled back records");
    assertEquals(Optional.of(Loss.CHANGE_MISSING), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job("req-000002"), "the rebuild restores the lost job");
  }

  /**
   * The state store is rolled back by one change, and another node writes until the revision is
   * higher than before. This node reads nothing for so long that the state store has compacted the
   * changes since this node's revision.
   */
  @Test
  void missingRecordsAreDetectedWhenAllKeysAreReloaded() {
    Node node = fixture.newServingNode();
    FakeStateStore.Backup saved = fixture.store().backup();
    node.submit("req-000002");
    fixture.run(0.5);
    fixture.store().restore(saved);
    for (int i = 0; i < 3; i++) {
      fixture.writeByAnotherNode("c/x" + i);
    }
    node.transport().replaceNextReply(ControlledTransport.READ, 410, "{}");
    node.replica().refresh();
    fixture.run(0.01);
    node.transport().release(ControlledTransport.READ);
    // The first 410 shows that the last change was compacted. The second one shows that all changes
    // since the replica's revision were compacted.
    node.transport().replaceNextReply(ControlledTransport.READ, 410, "{}");
    node.replica().refresh();
    fixture.run(0.01);
    node.transport().release(ControlledTransport.READ);
    fixture.run(0.5);
    assertEquals(Optional.of(Loss.RECORDS_GONE), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job("req-000002"));
  }

  @Test
  void aRevisionLowerThanOneThatAnotherNodeHasSeenIsALoss() {
    Node node = fixture.newServingNode();
    long ahead = node.replica().revision() + 5;
    node.addPeer(
        new Peer(
            "node-1",
            true,
            new RetainedRecords(
                RetainedRecords.Phase.SERVING,
                "",
                new Incarnation.HistoryPosition(0, ahead),
                false,
                0)));
    fixture.run(0.5);
    node.replica().refresh();
    fixture.run(0.1);
    assertEquals(Optional.of(Loss.REVISION_WENT_BACK), node.recovery().statistics().lastLoss());
    // The other node retains more records, so this node does not rebuild.
    fixture.run(3);
    assertEquals(0, node.recovery().statistics().rebuilds());
  }

  @Test
  void aReportedTermThatIsNotRecordedIsALoss() {
    Node node = fixture.newServingNode();
    node.recovery().observeTerm(5);
    fixture.run(0.1);
    assertEquals(Optional.of(Loss.TERM_MISSING), node.recovery().statistics().lastLoss());
    node.learnTerm(5);
    fixture.run(15);
    assertEquals(5, node.replica().term());
    assertTrue(
        node.replica().isPartialRebuild(),
        "the leader of the lost term may have started any tasks");
  }

  @Test
  void aRecordedTermThatThisNodeHasNotReadYetIsNoLoss() {
    Node node = fixture.newServingNode();
    fixture
        .store()
        .handle(
            StateStoreProtocol.transactionRequest(
                Map.of(),
                List.of(new StateStoreProtocol.Change(Records.TERM, Records.encodeTerm(5), 0))));
    node.recovery().observeTerm(5);
    fixture.run(1);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.recovery().statistics().losses());
  }

  /**
   * A rebuild whose manifest lists missing bundles is not served; the records are rebuilt again.
   */
  @Test
  void aRebuildWithoutItsBundlesIsALoss() {
    Node node = fixture.newServingNode();
    String cluster = node.client().keySpace().incarnation().cluster();
    Incarnation half =
        Incarnation.newRebuild(
                cluster, 1, "n", "node-1", new Incarnation.HistoryPosition(0, 1), false)
            .asCompleted(true, new Incarnation.Manifest(2, "0"));
    fixture.replaceIncarnation(half);
    fixture.run(0.8);
    assertEquals(Optional.of(Loss.BUNDLES_DAMAGED), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertTrue(node.recovery().isServing());
    assertEquals(2, node.recovery().retainedRecords().position().incarnationNumber());
    assertNotNull(node.replica().job(JOB));
  }

  /**
   * Jobs of the node's snapshot that the records lack were lost, even if the records have a higher
   * revision.
   */
  @Test
  void aRestartedNodeDetectsALossByItsSnapshot() {
    Node first = fixture.newServingNode();
    RecordsSnapshot snapshot = first.replica().snapshot();
    first.recovery().stop();
    first.replica().stop();
    fixture.store().loseAllData();
    Incarnation same = first.client().keySpace().incarnation();
    fixture.replaceIncarnation(same);
    for (int i = 0; i < 9; i++) {
      fixture.writeByAnotherNode("c/x" + i);
    }
    Node node = fixture.newNode(snapshot);
    fixture.run(2);
    assertEquals(Optional.of(Loss.RECORDS_GONE), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job(JOB));
  }
}
