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

/**
 * Tests which node rebuilds: the former leader, or else the node that retains the latest records.
 */
class RebuildElectionTest {
  private static final double AFTER_GATHERING_SECONDS = 2;
  private static final double AFTER_TWICE_GATHERING_SECONDS = 3.5;
  private static final double AFTER_MAX_WAIT_SECONDS = 5.5;
  private static final long REVISION = 10;
  private static final RecordsSnapshot RETAINED =
      new RecordsSnapshot(
          "cluster", "", new HistoryPosition(0, REVISION), 1, null, HashTreePMap.empty());
  private static final Optional<Incarnation> NO_RECORD = Optional.empty();

  private final RecoveryFixture fixture = new RecoveryFixture();
  private final Node node = fixture.newNode(RecordsSnapshot.EMPTY);

  private RecoveryState newHoldingState(RecordsSnapshot retained) {
    RecoveryState state =
        new RecoveryState(fixture.time(), fixture.newConnection().newReplica(), node, retained);
    state.hold();
    return state;
  }

  private RebuildElection newElection(RecoveryState state) {
    return new RebuildElection(fixture.time(), RecoveryFixture.TIMINGS, node, state);
  }

  private RebuildElection newElection() {
    return newElection(newHoldingState(RETAINED));
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
  void noNodeRebuildsBeforeTheGatheringTimeIsOver() {
    RebuildElection election = newElection();
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aNodeThatRetainsNothingRebuildsOnlyAfterTheMaximumWait() {
    RebuildElection election = newElection(newHoldingState(RecordsSnapshot.EMPTY));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_MAX_WAIT_SECONDS);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void theNodeThatRetainsTheLatestRecordsIsPreferred() {
    RebuildElection election = newElection();
    fixture.run(AFTER_GATHERING_SECONDS);
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION - 1));
    assertTrue(election.shouldRebuild(NO_RECORD));
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION));
    assertTrue(election.shouldRebuild(NO_RECORD), "ties are broken by name");
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION + 1));
    assertFalse(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void theFormerLeaderIsPreferredToNodesThatRetainLaterRecords() {
    RecoveryState state = newHoldingState(RETAINED);
    state.recordLoss(Loss.REVISION_WENT_BACK, Optional.empty(), true);
    RebuildElection election = newElection(state);
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.HOLDING, REVISION + 1));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aPreferredNodeThatDoesNotReachTheStoreIsAwaitedUntilTheMaximumWait() {
    RebuildElection election = newElection();
    node.addPeer(peer("node-1", false, RetainedRecords.Phase.HOLDING, REVISION + 1));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_MAX_WAIT_SECONDS);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aPreferredNodeThatStillServesIsAwaitedForTwiceTheGatheringTime() {
    RebuildElection election = newElection();
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.SERVING, REVISION + 1));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertFalse(election.shouldRebuild(NO_RECORD));
    fixture.run(AFTER_TWICE_GATHERING_SECONDS);
    assertTrue(election.shouldRebuild(NO_RECORD));
  }

  @Test
  void aRebuildInProgressIsReplacedOnlyFromLaterRecords() {
    RebuildElection election = newElection();
    node.addPeer(peer("node-1", true, RetainedRecords.Phase.REBUILDING, REVISION - 1));
    fixture.run(AFTER_GATHERING_SECONDS);
    assertFalse(election.shouldRebuild(rebuildBy("node-1", REVISION)));
    assertTrue(election.shouldRebuild(rebuildBy("node-1", REVISION - 1)));
  }

  @Test
  void aRebuilderWithoutHeartbeatsIsAwaitedForTwiceTheGatheringTime() {
    RebuildElection election = newElection();
    fixture.run(AFTER_GATHERING_SECONDS);
    assertFalse(election.shouldRebuild(rebuildBy("node-2", REVISION)));
    fixture.run(AFTER_TWICE_GATHERING_SECONDS);
    assertTrue(election.shouldRebuild(rebuildBy("node-2", REVISION)));
  }
}
