package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Shard;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Fate;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.RollbackDetector.Loss;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Each sign of a loss alone, and what is no loss. */
class RecoveryTest {
  private static final Duration CALL = Duration.ofSeconds(1);
  private static final String JOB = "req-000001";

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);

  /** A node with nothing but its copy of the records. */
  private final class Node implements ClusterNode {
    private final ControlledTransport line = new ControlledTransport(time, state);
    private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    private final StateStoreClient client =
        new StateStoreClient(time, rateLimiter, line, new Endpoint("127.0.0.1", 1), CALL);
    private final Replica replica =
        new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
    private final Recovery recovery;
    private final List<Peer> peers = new ArrayList<>();
    private boolean leadsSurely;
    private long knownTerm;
    private boolean workersRemember;

    Node(RecordsSnapshot snapshot) {
      recovery =
          new Recovery(
              time,
              client,
              rateLimiter,
              replica,
              new SplittableRandom(7),
              new RecoveryTimings(Duration.ofMillis(1500), Duration.ofSeconds(5), 16_384, 12, 100),
              this,
              snapshot);
      recovery.start();
      replica.start();
    }

    @Override
    public String name() {
      return "node-0";
    }

    @Override
    public List<Peer> peers() {
      return peers;
    }

    @Override
    public int peerCount() {
      return 2;
    }

    @Override
    public long highestKnownTerm() {
      return knownTerm;
    }

    @Override
    public boolean isSoleLeader() {
      return leadsSurely;
    }

    @Override
    public boolean hasWorkerShownToken() {
      return workersRemember;
    }

    @Override
    public void onServingChanged() {
      // Nothing here leads.
    }

    CompletableFuture<Boolean> submit(String id) {
      return client
          .commit(Map.of(Records.jobKey(id), 0L), List.of(job(id)))
          .thenApply(StateStoreClient.CommitResult::applied);
    }
  }

  private static StateStoreProtocol.Change job(String id) {
    return new StateStoreProtocol.Change(
        Records.jobKey(id), Records.encodeJob(JobFixture.job(id, Priority.NORMAL, 1, 1), 100), 0);
  }

  /** Some process without memory changes a key. */
  private void writeByOthers(String key, Map<String, Long> conditions) {
    state.handle(
        StateStoreProtocol.transactionRequest(
            conditions, List.of(new StateStoreProtocol.Change(key, Records.presenceMarker(), 0))));
  }

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  private Node serving() {
    Node node = new Node(RecordsSnapshot.EMPTY);
    run(8);
    assertTrue(node.recovery.isServing());
    node.submit(JOB);
    run(0.5);
    assertNotNull(node.replica.job(JOB));
    return node;
  }

  @Test
  void anEmptyServiceThatNobodyRemembersIsAFirstInstallation() {
    Node node = new Node(RecordsSnapshot.EMPTY);
    run(8);
    assertTrue(node.recovery.isServing());
    assertEquals(0, node.recovery.statistics().losses());
    assertEquals(0, node.recovery.retainedRecords().position().incarnationNumber());
  }

  @Test
  void recordsWithoutAnIdentityAreThoseOfAnEarlierVersion() {
    state.handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(job(JOB))));
    Node node = new Node(RecordsSnapshot.EMPTY);
    node.workersRemember = true;
    run(8);
    assertTrue(node.recovery.isServing());
    assertEquals(0, node.recovery.statistics().losses());
    assertNotNull(node.replica.job(JOB));
  }

  @Test
  void anEmptyServiceIsALossWhereWorkersHaveServed() {
    Node node = new Node(RecordsSnapshot.EMPTY);
    node.workersRemember = true;
    run(10);
    assertEquals(1, node.recovery.statistics().losses());
    assertTrue(node.recovery.isServing());
    assertTrue(
        node.recovery.retainedRecords().position().incarnationNumber() > 0,
        "not a first installation");
    assertTrue(node.replica.isPartialRebuild());
  }

  @Test
  void anOutageAndAHistoryTooShortAreNoLoss() {
    Node node = serving();
    state.setDown(true);
    run(20);
    state.setDown(false);
    run(3);
    node.line.replyNext(ControlledTransport.WATCH, 410, "{}");
    run(12);
    node.line.release(ControlledTransport.WATCH);
    run(20);
    assertTrue(node.recovery.isServing());
    assertEquals(0, node.recovery.statistics().losses());
  }

  @Test
  void allIsRebuiltFromMemoryAfterAnEmptyService() {
    Node node = serving();
    node.client.commit(
        Map.of(),
        List.of(
            new StateStoreProtocol.Change(
                Records.outcomeKey(JOB), Records.encodeOutcome(Outcome.CANCELLED), 0)));
    run(1);
    node.leadsSurely = true;
    node.knownTerm = 17;
    state.loseAllData();
    node.replica.refresh();
    run(0.1);
    assertEquals(Loss.REVISION_WENT_BACK, node.recovery.statistics().lastLoss());
    assertFalse(node.recovery.isServing());
    run(15);
    assertTrue(node.recovery.isServing());
    assertEquals(Outcome.CANCELLED, node.replica.job(JOB).outcome());
    assertEquals(17, node.replica.term(), "above every term that was heard of");
    assertFalse(node.replica.isPartialRebuild(), "the leader remembers every start");
  }

  /**
   * A transaction that is applied in another history must not be told to its user: what it was
   * added to is about to be replaced.
   */
  @Test
  void anAnswerFromAnotherHistoryIsNotTold() {
    Node node = serving();
    for (int i = 2; i < 9; i++) {
      node.submit(String.format("req-%06d", i));
    }
    run(1);
    long before = node.replica.revision();
    state.loseAllData();
    // Others have installed anew, with the same identity, by chance at the same version.
    Incarnation same = node.client.keySpace().incarnation();
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(), List.of(new StateStoreProtocol.Change(Incarnation.KEY, same.encode(), 0))));
    CompletableFuture<Boolean> told = node.submit("req-000100");
    run(0.05);
    assertTrue(told.isCompletedExceptionally(), "its user is told to come back");
    assertTrue(before > 3);
    assertEquals(Loss.REVISION_WENT_BACK, node.recovery.statistics().lastLoss());
  }

  /** Set back by one change, and written on by a node without memory until nothing looks older. */
  @Test
  void aRevisionThatHasCaughtUpIsSeenByTheLastChange() {
    Node node = serving();
    FakeStateStore.Backup saved = state.backup();
    node.submit("req-000002");
    run(0.5);
    assertNotNull(node.replica.job("req-000002"));
    state.restore(saved);
    for (int i = 0; i < 3; i++) {
      writeByOthers("c/x" + i, Map.of());
    }
    CompletableFuture<Void> reading = node.replica.refresh();
    run(0.1);
    assertTrue(reading.isCompletedExceptionally(), "nobody is answered from it");
    assertEquals(Loss.CHANGE_MISSING, node.recovery.statistics().lastLoss());
    run(15);
    assertNotNull(node.replica.job("req-000002"), "it is written back");
  }

  /** As above, while this node reads nothing for so long that its watch is too old. */
  @Test
  void recordsThatAreGoneAreSeenWhenAllKeysAreReadAgain() {
    Node node = serving();
    FakeStateStore.Backup saved = state.backup();
    node.submit("req-000002");
    run(0.5);
    state.restore(saved);
    for (int i = 0; i < 3; i++) {
      writeByOthers("c/x" + i, Map.of());
    }
    node.line.replyNext(ControlledTransport.READ, 410, "{}");
    node.replica.refresh();
    run(0.01);
    node.line.release(ControlledTransport.READ);
    // The first says that the last change is out of reach, the second that all changes are.
    node.line.replyNext(ControlledTransport.READ, 410, "{}");
    node.replica.refresh();
    run(0.01);
    node.line.release(ControlledTransport.READ);
    run(0.5);
    assertEquals(Loss.RECORDS_GONE, node.recovery.statistics().lastLoss());
    run(15);
    assertNotNull(node.replica.job("req-000002"));
  }

  @Test
  void whatAnotherNodeHasSeenThisOneMustSee() {
    Node node = serving();
    long ahead = node.replica.revision() + 5;
    node.peers.add(
        new Peer(
            "node-1",
            true,
            new RetainedRecords(
                RetainedRecords.Phase.SERVING,
                "",
                new Incarnation.HistoryPosition(0, ahead),
                false,
                0)));
    run(0.5);
    node.replica.refresh();
    run(0.1);
    assertEquals(Loss.REVISION_WENT_BACK, node.recovery.statistics().lastLoss());
    // That one remembers more, so that it rebuilds.
    run(3);
    assertEquals(0, node.recovery.statistics().rebuilds());
  }

  @Test
  void aTermThatIsNotRecordedIsALoss() {
    Node node = serving();
    node.recovery.observeTerm(5);
    run(0.1);
    assertEquals(Loss.TERM_MISSING, node.recovery.statistics().lastLoss());
    node.knownTerm = 5;
    run(15);
    assertEquals(5, node.replica.term());
    assertTrue(node.replica.isPartialRebuild(), "its leader may have started anything");
  }

  @Test
  void aTermThatIsOnlyNewsToThisNodeIsNone() {
    Node node = serving();
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(),
            List.of(new StateStoreProtocol.Change(Records.TERM, Records.encodeTerm(5), 0))));
    node.recovery.observeTerm(5);
    run(1);
    assertTrue(node.recovery.isServing());
    assertEquals(0, node.recovery.statistics().losses());
  }

  /** A transaction of the old incarnation that comes after the next one was begun is refused. */
  @Test
  void theFenceStopsTransactionsOfTheOldIncarnation() {
    Node node = serving();
    node.line.interceptNext(ControlledTransport.COMMIT, Fate.HOLD_REQUEST);
    CompletableFuture<Boolean> late = node.submit("req-000002");
    Incarnation next =
        Incarnation.newRebuild("other", 1, "n", "node-1", Incarnation.HistoryPosition.NONE, false);
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(), List.of(new StateStoreProtocol.Change(Incarnation.KEY, next.encode(), 0))));
    node.line.release(ControlledTransport.COMMIT);
    run(0.3);
    assertTrue(late.isCompletedExceptionally());
    assertNull(state.value(Records.jobKey("req-000002")), "nothing is added behind the fence");
    assertFalse(node.recovery.isServing());
  }

  @Test
  void anotherClustersRecordsAreNeverUsed() {
    Node node = serving();
    state.loseAllData();
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(),
            List.of(
                new StateStoreProtocol.Change(
                    Incarnation.KEY, Incarnation.firstInstallation("x").encode(), 0))));
    run(20);
    assertFalse(node.recovery.isServing());
    assertTrue(node.recovery.statistics().hasFoundOtherCluster());
    assertEquals("x", state.value(Incarnation.KEY).path("cluster").asText(), "nor overwritten");
  }

  /** A rebuild that names bundles which are not there is not served, but built again. */
  @Test
  void aRebuildWithoutItsBundlesIsTakenForALoss() {
    Node node = serving();
    String cluster = node.client.keySpace().incarnation().cluster();
    Incarnation half =
        Incarnation.newRebuild(
                cluster, 1, "n", "node-1", new Incarnation.HistoryPosition(0, 1), false)
            .completed(true, new Incarnation.Manifest(2, "0"));
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(), List.of(new StateStoreProtocol.Change(Incarnation.KEY, half.encode(), 0))));
    run(0.8);
    assertEquals(Loss.BUNDLES_DAMAGED, node.recovery.statistics().lastLoss());
    run(15);
    assertTrue(node.recovery.isServing());
    assertEquals(2, node.recovery.retainedRecords().position().incarnationNumber());
    assertNotNull(node.replica.job(JOB));
  }

  /** The jobs of a snapshot that the records lack were lost, however new the records look. */
  @Test
  void aSnapshotTellsALossToANodeThatHasJustStarted() {
    Node first = serving();
    RecordsSnapshot snapshot = first.replica.snapshot();
    first.recovery.stop();
    first.replica.stop();
    state.loseAllData();
    Incarnation same = first.client.keySpace().incarnation();
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(), List.of(new StateStoreProtocol.Change(Incarnation.KEY, same.encode(), 0))));
    for (int i = 0; i < 9; i++) {
      writeByOthers("c/x" + i, Map.of());
    }
    Node node = new Node(snapshot);
    run(2);
    assertEquals(Loss.RECORDS_GONE, node.recovery.statistics().lastLoss());
    run(15);
    assertNotNull(node.replica.job(JOB));
  }

  /** A node that looks for no losses would read and change records that are over. */
  @Test
  void aNodeWithoutRecoveryDoesNotServeRebuiltRecords() {
    Node node = serving();
    ControlledTransport line = new ControlledTransport(time, state);
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    Endpoint anywhere = new Endpoint("127.0.0.1", 1);
    StateStoreClient client = new StateStoreClient(time, rateLimiter, line, anywhere, CALL);
    Replica plain = new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
    plain.start();
    run(1);
    assertTrue(plain.isLoaded(), "before any loss both read the same records");
    assertNotNull(plain.job(JOB));
    state.loseAllData();
    run(25);
    assertTrue(node.recovery.isServing());
    assertFalse(plain.isLoaded());
    Replica begun = new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
    begun.start();
    run(2);
    assertFalse(begun.isLoaded());
  }

  /**
   * Bundles are never rewritten. A progress record that is only in one must not come back when it
   * was removed and all is read again, nor may one that was changed since.
   */
  @Test
  void whatIsRemovedAfterARebuildStaysRemoved() {
    Node node = serving();
    node.submit("req-000002");
    for (String id : List.of(JOB, "req-000002")) {
      Shard owned = Shard.EMPTY.edit().assign(0, "host-1", 1, 5).build();
      node.client.commit(
          Map.of(),
          List.of(
              new StateStoreProtocol.Change(
                  Records.progressKey(id, 0), Records.encodeShard(owned), 0)));
    }
    run(0.5);
    state.loseAllData();
    run(15);
    assertTrue(node.recovery.isServing());
    assertEquals(0, node.replica.job(JOB).shard(0).version(), "it is in a bundle only");
    Shard ended = node.replica.job(JOB).shard(0).shard().edit().release(0, true).build();
    CompletableFuture<StateStoreClient.CommitResult> changes =
        node.client.commit(
            Map.of(Records.progressKey(JOB, 0), 0L, Records.progressKey("req-000002", 0), 0L),
            List.of(
                new StateStoreProtocol.Change(
                    Records.progressKey(JOB, 0), Records.encodeShard(ended), 0),
                new StateStoreProtocol.Change(
                    Records.outcomeKey("req-000002"), Records.encodeOutcome(Outcome.DONE), 0),
                new StateStoreProtocol.Change(Records.progressKey("req-000002", 0), null, 0)));
    run(0.5);
    assertTrue(changes.join().applied());
    assertEquals(1, node.replica.activeJobs().size());
    Node other = new Node(RecordsSnapshot.EMPTY);
    run(5);
    assertTrue(other.recovery.isServing());
    assertEquals(1, other.replica.activeJobs().size(), "the one that has ended has nothing left");
    assertNull(other.replica.job(JOB).shard(0).shard().ownedAttempt(0));
    assertEquals(1, other.replica.job(JOB).shard(0).shard().history(0).failures());
  }

  /** After a loss the terms given out need not all be known, and a name must not be used again. */
  @Test
  void namesOfRentalRequestsDifferAfterARebuild() {
    Node node = serving();
    String before = node.replica.instanceRequestPrefix();
    state.loseAllData();
    run(15);
    String first = node.replica.instanceRequestPrefix();
    state.loseAllData();
    run(15);
    String second = node.replica.instanceRequestPrefix();
    assertTrue(node.recovery.isServing());
    assertEquals(3, List.of(before, first, second).stream().distinct().count());
  }
}
