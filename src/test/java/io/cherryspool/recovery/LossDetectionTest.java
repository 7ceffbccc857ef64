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

/** Each sign of a loss alone, and what is no loss. */
class LossDetectionTest {
  private final RecoveryFixture fixture = new RecoveryFixture();

  @Test
  void anOutageAndAHistoryTooShortAreNoLoss() {
    Node node = fixture.newServingNode();
    fixture.store().setDown(true);
    fixture.run(20);
    fixture.store().setDown(false);
    fixture.run(3);
    node.transport().replyNext(ControlledTransport.WATCH, 410, "{}");
    fixture.run(12);
    node.transport().release(ControlledTransport.WATCH);
    fixture.run(20);
    assertTrue(node.recovery().isServing());
    assertEquals(0, node.recovery().statistics().losses());
  }

  /**
   * A transaction that is applied in another history must not be acknowledged to its user: what it
   * was added to is about to be replaced.
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
    // Others have installed anew, with the same identity, by chance at the same version.
    Incarnation same = node.client().keySpace().incarnation();
    fixture.replaceIncarnation(same);
    CompletableFuture<Boolean> answer = node.submit("req-000100");
    fixture.run(0.05);
    assertTrue(answer.isCompletedExceptionally(), "its user is asked to retry");
    assertTrue(before > 3);
    assertEquals(Optional.of(Loss.REVISION_WENT_BACK), node.recovery().statistics().lastLoss());
  }

  /**
   * Set back by one change, and written on by a node that retains nothing until nothing looks
   * older.
   */
  @Test
  void aRevisionThatHasCaughtUpIsDetectedByTheLastChange() {
    Node node = fixture.newServingNode();
    FakeStateStore.Backup saved = fixture.store().backup();
    node.submit("req-000002");
    fixture.run(0.5);
    assertNotNull(node.replica().job("req-000002"));
    fixture.store().restore(saved);
    for (int i = 0; i < 3; i++) {
      fixture.writeByOthers("c/x" + i);
    }
    CompletableFuture<Void> reading = node.replica().refresh();
    fixture.run(0.1);
    assertTrue(reading.isCompletedExceptionally(), "no user is answered from it");
    assertEquals(Optional.of(Loss.CHANGE_MISSING), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job("req-000002"), "it is written back");
  }

  /** As above, while this node reads nothing for so long that its watch is too old. */
  @Test
  void missingRecordsAreDetectedWhenAllKeysAreReadAgain() {
    Node node = fixture.newServingNode();
    FakeStateStore.Backup saved = fixture.store().backup();
    node.submit("req-000002");
    fixture.run(0.5);
    fixture.store().restore(saved);
    for (int i = 0; i < 3; i++) {
      fixture.writeByOthers("c/x" + i);
    }
    node.transport().replyNext(ControlledTransport.READ, 410, "{}");
    node.replica().refresh();
    fixture.run(0.01);
    node.transport().release(ControlledTransport.READ);
    // The first says that the last change is out of reach, the second that all changes are.
    node.transport().replyNext(ControlledTransport.READ, 410, "{}");
    node.replica().refresh();
    fixture.run(0.01);
    node.transport().release(ControlledTransport.READ);
    fixture.run(0.5);
    assertEquals(Optional.of(Loss.RECORDS_GONE), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job("req-000002"));
  }

  @Test
  void aRevisionThatAnotherNodeHasSeenIsRequiredHereToo() {
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
    // That one retains more, so that it rebuilds.
    fixture.run(3);
    assertEquals(0, node.recovery().statistics().rebuilds());
  }

  @Test
  void aTermThatIsNotRecordedIsALoss() {
    Node node = fixture.newServingNode();
    node.recovery().observeTerm(5);
    fixture.run(0.1);
    assertEquals(Optional.of(Loss.TERM_MISSING), node.recovery().statistics().lastLoss());
    node.learnTerm(5);
    fixture.run(15);
    assertEquals(5, node.replica().term());
    assertTrue(node.replica().isPartialRebuild(), "its leader may have started anything");
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

  /** A rebuild that names bundles which are not there is not served, but built again. */
  @Test
  void aRebuildWithoutItsBundlesIsALoss() {
    Node node = fixture.newServingNode();
    String cluster = node.client().keySpace().incarnation().cluster();
    Incarnation half =
        Incarnation.newRebuild(
                cluster, 1, "n", "node-1", new Incarnation.HistoryPosition(0, 1), false)
            .completed(true, new Incarnation.Manifest(2, "0"));
    fixture.replaceIncarnation(half);
    fixture.run(0.8);
    assertEquals(Optional.of(Loss.BUNDLES_DAMAGED), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertTrue(node.recovery().isServing());
    assertEquals(2, node.recovery().retainedRecords().position().incarnationNumber());
    assertNotNull(node.replica().job(JOB));
  }

  /** The jobs of a snapshot that the records lack were lost, however new the records look. */
  @Test
  void aSnapshotShowsALossToANodeThatHasJustStarted() {
    Node first = fixture.newServingNode();
    RecordsSnapshot snapshot = first.replica().snapshot();
    first.recovery().stop();
    first.replica().stop();
    fixture.store().loseAllData();
    Incarnation same = first.client().keySpace().incarnation();
    fixture.replaceIncarnation(same);
    for (int i = 0; i < 9; i++) {
      fixture.writeByOthers("c/x" + i);
    }
    Node node = fixture.newNode(snapshot);
    fixture.run(2);
    assertEquals(Optional.of(Loss.RECORDS_GONE), node.recovery().statistics().lastLoss());
    fixture.run(15);
    assertNotNull(node.replica().job(JOB));
  }
}
