package io.cherryspool.recovery;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Simulated nodes that consist only of a replica and a recovery, and the state store that they
 * share.
 */
final class RecoveryFixture {
  /** The id of the job that {@link #newServingNode} submits. */
  static final String JOB = "req-000001";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Endpoint STORE_ADDRESS = new Endpoint("127.0.0.1", 1);

  /** The nodes gather heartbeats for 1.5 s and wait for at most 5 s. */
  static final RecoveryTimings TIMINGS =
      new RecoveryTimings(Duration.ofMillis(1500), Duration.ofSeconds(5), 16_384, 12, 100);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore store = new FakeStateStore(time, new SplittableRandom(1), 0);

  /** The clock and event loop of all nodes. */
  VirtualTime time() {
    return time;
  }

  /** The state store that all nodes share. */
  FakeStateStore store() {
    return store;
  }

  /** Runs all events that are due within this time. */
  void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
  }

  /** Starts a node with the records from a snapshot file of an earlier process. */
  Node newNode(RecordsSnapshot snapshot) {
    return new Node(snapshot);
  }

  /** Starts a node and runs until it serves the records of a first installation with one job. */
  Node newServingNode() {
    Node node = new Node(RecordsSnapshot.EMPTY);
    run(8);
    assertTrue(node.recovery.isServing());
    node.submit(JOB);
    run(0.5);
    assertNotNull(node.replica.job(JOB));
    return node;
  }

  /** Returns the change that submits a job. */
  static StateStoreProtocol.Change submissionOf(String id) {
    return new StateStoreProtocol.Change(
        Records.jobKey(id), Records.encodeJob(JobFixture.job(id, Priority.NORMAL, 1, 1), 100), 0);
  }

  /** Writes a key as another node does that retains no records. */
  void writeByAnotherNode(String key) {
    commitByAnotherNode(new StateStoreProtocol.Change(key, Records.presenceMarker(), 0));
  }

  /** Replaces the identity record as another node does. */
  void replaceIncarnation(Incarnation record) {
    commitByAnotherNode(new StateStoreProtocol.Change(Incarnation.KEY, record.encode(), 0));
  }

  /** Commits a change as another node does. */
  void commitByAnotherNode(StateStoreProtocol.Change change) {
    store.handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(change)));
  }

  /** Creates a client of the state store for replicas without rollback detection. */
  Connection newConnection() {
    return new Connection();
  }

  /** A client of the state store. */
  final class Connection {
    private final ControlledTransport transport = new ControlledTransport(time, store);
    private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    private final StateStoreClient client =
        new StateStoreClient(time, rateLimiter, transport, STORE_ADDRESS, CALL_TIMEOUT);

    /** Creates a replica that is not started. */
    Replica newReplica() {
      return new Replica(
          time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
    }
  }

  /** A node that consists only of a replica and a recovery. */
  final class Node implements ClusterNode {
    private final Connection connection = new Connection();
    private final Replica replica = connection.newReplica();
    private final Recovery recovery;
    private final List<Peer> peers = new ArrayList<>();
    private boolean isSoleLeader;
    private long highestKnownTerm;
    private boolean hasWorkerReportedToken;

    private Node(RecordsSnapshot snapshot) {
      recovery =
          new Recovery(
              time,
              new RecoveryStore(time, connection.client, connection.rateLimiter),
              replica,
              new SplittableRandom(7),
              TIMINGS,
              this,
              snapshot);
      recovery.start();
      replica.start();
    }

    ControlledTransport transport() {
      return connection.transport;
    }

    StateStoreClient client() {
      return connection.client;
    }

    Replica replica() {
      return replica;
    }

    Recovery recovery() {
      return recovery;
    }

    /** Adds a heartbeat of another node. It never expires. */
    void addPeer(Peer peer) {
      peers.add(peer);
    }

    /** Makes this node the leader with a lease that never expires. */
    void becomeSoleLeader() {
      isSoleLeader = true;
    }

    /** Sets the highest term that this node knows. */
    void learnTerm(long term) {
      highestKnownTerm = term;
    }

    /** Simulates that a worker has reported a fencing token. */
    void reportWorkerToken() {
      hasWorkerReportedToken = true;
    }

    /** Submits a job. The future completes with whether the transaction was applied. */
    CompletableFuture<Boolean> submit(String id) {
      return connection
          .client
          .commit(Map.of(Records.jobKey(id), 0L), List.of(submissionOf(id)))
          .thenApply(StateStoreClient.CommitResult::isApplied);
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
      return highestKnownTerm;
    }

    @Override
    public boolean isSoleLeader() {
      return isSoleLeader;
    }

    @Override
    public boolean hasWorkerReportedToken() {
      return hasWorkerReportedToken;
    }

    @Override
    public void onServingChanged() {
      // There is no election in this fixture.
    }
  }
}
