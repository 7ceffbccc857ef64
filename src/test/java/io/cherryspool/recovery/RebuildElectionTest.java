package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.recovery.RecoveryFixture.Node;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.Incarnation.HistoryPosition;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.RollbackDetector.Loss;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;

/** Which node rebuilds: the former leader, else the one that retains the latest records. */
class RebuildElectionTest {
  private static final double AFTER_GATHERING_S = 2;
  private static final double AFTER_TWICE_GATHERING_S = 3.5;
  private static final double AFTER_MAX_WAIT_S = 5.5;
  private static final long REVISION = 10;
  private static final RecordsSnapshot RETAINED =
      new RecordsSnapshot(
          "cluster", "", new HistoryPosition(0, REVISION), 1, null, HashTreePMap.empty());
  private static final Optional<Incarnation> NO_RECORD = Optional.empty();

  private final RecoveryFixture fixture = new RecoveryFixture();
  private final Node node = fixture.newNode(RecordsSnapshot.EMPTY);

  private RecoveryState holding(RecordsSnapshot retained) {
    RecoveryState state =
        new RecoveryState(fixture.time(), fixture.newConnection().newReplica(), node, retained);
    state.hold();
    return state;
  }

  private RebuildElection election(RecoveryState state) {
    return new RebuildElection(fixture.time(), RecoveryFixture.TIMINGS, node, state);
  }

  private RebuildElection election() {
    return election(holding(RETAINED));
  }

  private static Peer peer(
      String name, boolean isStoreReachable, RetainedRecords.Phase phase, long revision) {
    return new Peer(
        name,
        isStoreReachable,
        new RetainedRecords(phase, "", new HistoryPosition(0, revision), false, 0));
  }

  private static Optional<Incarnation> rebuildBy(String rebuilder, long fromRevision) {
    return Optional.of(
        Incarnation.newRebuild(
            "cluster", 1, "n", rebuilder, new HistoryPosition(0, fromRevision), false));
  }

  @Test
  void heartbeatsAreGatheredFirst() {
    RebuildElection election = election();
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_GATHERING_S);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aNodeThatRetainsNothingWaitsForOneThatDoes() {
    RebuildElection election = election(holding(RecordsSnapshot.EMPTY));
    fixture.run(AFTER_GATHERING_S);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_MAX_WAIT_S);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void theNodeThatRetainsTheLatestRecordsGoesFirst() {
    RebuildElection election = election();
    fixture.run(AFTER_GATHERING_S);
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION - 1));
    assertTrue(election.shouldRebuild(NO_RECORD));
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION));
    assertTrue(election.shouldRebuild(NO_RECORD), "ties are broken by name");
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION + 1));
    assertFalse(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void theFormerLeaderGoesBeforeNodesThatRetainLaterRecords() {
    RecoveryState state = holding(RETAINED);
    state.recordLoss(Loss.REVISION_WENT_BACK, Optional.empty(), true);
    RebuildElection election = election(state);
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION + 1));
    fixture.run(AFTER_GATHERING_S);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aBetterNodeThatDoesNotReachTheStoreIsWaitedForOnlySoLong() {
    RebuildElection election = election();
    node.addPeer(peer("node-1", false, RetainedRecords.Phase.HOLDING, REVISION + 1));
    fixture.run(AFTER_GATHERING_S);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_MAX_WAIT_S);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aBetterNodeThatStillServesIsWaitedForOnlySoLong() {
    RebuildElection election = election();
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.SERVING, REVISION + 1));
    fixture.run(AFTER_GATHERING_S);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_TWICE_GATHERING_S);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aRebuildUnderWayIsReplacedOnlyByABetterOne() {
    RebuildElection election = election();
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.REBUILDING, REVISION - 1));
    fixture.run(AFTER_GATHERING_S);
    assertFalse(election.shouldRebuild(rebuildBy("node-1", REVISION)));
    assertTrue(election.shouldRebuild(rebuildBy("node-1", REVISION - 1)));
  }

  @Test
  void aRebuilderThatSendsNoHeartbeatsGetsSomeTime() {
    RebuildElection election = election();
    fixture.run(AFTER_GATHERING_S);
    assertFalse(election.shouldRebuild(rebuildBy("node-2", REVISION)));
    fixture.run(AFTER_TWICE_GATHERING_S);
    assertTrue(election.shouldRebuild(rebuildBy("node-2", REVISION)));
  }
}
