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

/** Nodes that have nothing but their replicas and a recovery, and the store that they share. */
final class RecoveryFixture {
  /** The job that a serving node begins with. */
  static final String JOB = "req-000001";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Endpoint STORE_ADDRESS = new Endpoint("127.0.0.1", 1);

  /** Nodes gather heartbeats for 1.5 s, and wait for 5 s at most. */
  static final RecoveryTimings TIMINGS =
      new RecoveryTimings(Duration.ofMillis(1500), Duration.ofSeconds(5), 16_384, 12, 100);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore store = new FakeStateStore(time, new SplittableRandom(1), 0);

  /** The clock and event loop of all nodes. */
  VirtualTime time() {
    return time;
  }

  /** The store that all nodes share. */
  FakeStateStore store() {
    return store;
  }

  /** Runs everything that is due within this time. */
  void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  /** A node that starts, with what a snapshot file of an earlier process holds. */
  Node newNode(RecordsSnapshot snapshot) {
    return new Node(snapshot);
  }

  /** A node that serves the records of a first installation with one job. */
  Node newServingNode() {
    Node node = new Node(RecordsSnapshot.EMPTY);
    run(8);
    assertTrue(node.recovery.isServing());
    node.submit(JOB);
    run(0.5);
    assertNotNull(node.replica.job(JOB));
    return node;
  }

  /** The change that submits a job. */
  static StateStoreProtocol.Change job(String id) {
    return new StateStoreProtocol.Change(
        Records.jobKey(id), Records.encodeJob(JobFixture.job(id, Priority.NORMAL, 1, 1), 100), 0);
  }

  /** Some process that retains nothing changes a key. */
  void writeByOthers(String key) {
    commitByOthers(new StateStoreProtocol.Change(key, Records.presenceMarker(), 0));
  }

  /** The same for the incarnation's record. */
  void replaceIncarnation(Incarnation record) {
    commitByOthers(new StateStoreProtocol.Change(Incarnation.KEY, record.encode(), 0));
  }

  /** The same for any change. */
  void commitByOthers(StateStoreProtocol.Change change) {
    store.handle(StateStoreProtocol.transactionRequest(Map.of(), List.of(change)));
  }

  /** A client of the store for replicas that detect no losses. */
  Connection newConnection() {
    return new Connection();
  }

  /** A client of the store. */
  final class Connection {
    private final ControlledTransport transport = new ControlledTransport(time, store);
    private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    private final StateStoreClient client =
        new StateStoreClient(time, rateLimiter, transport, STORE_ADDRESS, CALL_TIMEOUT);

    /** A replica that is not started yet. */
    Replica newReplica() {
      return new Replica(
          time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
    }
  }

  /** A node with nothing but its replica. */
  final class Node implements ClusterNode {
    private final Connection connection = new Connection();
    private final Replica replica = connection.newReplica();
    private final Recovery recovery;
    private final List<Peer> peers = new ArrayList<>();
    private boolean isSoleLeader;
    private long highestKnownTerm;
    private boolean hasWorkerShownToken;

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

    /** The other node's heartbeat arrives, and stays fresh. */
    void addPeer(Peer peer) {
      peers.add(peer);
    }

    /** From now on this node leads by a lease that surely holds. */
    void becomeSoleLeader() {
      isSoleLeader = true;
    }

    /** The node learns of a term. */
    void learnTerm(long term) {
      highestKnownTerm = term;
    }

    /** A worker shows a fencing token. */
    void showWorkerToken() {
      hasWorkerShownToken = true;
    }

    /** Submits a job, and returns whether the transaction was applied. */
    CompletableFuture<Boolean> submit(String id) {
      return connection
          .client
          .commit(Map.of(Records.jobKey(id), 0L), List.of(job(id)))
          .thenApply(StateStoreClient.CommitResult::applied);
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
      return hasWorkerShownToken;
    }

    @Override
    public void onServingChanged() {
      // Nothing here leads.
    }
  }
}
