package io.cherryspool.controller.election;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.http.Endpoint;
import io.cherryspool.reachability.Reachability;
import io.cherryspool.reachability.ReachabilityFixture;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** The election of one node in virtual time; its state store lease is 4 s long. */
final class ElectionFixture {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport transport = new ControlledTransport(time, stateStore);
  private final Reachability reachability =
      ReachabilityFixture.reachability("node-0", List.of("node-1"));
  private final Replica records;
  private final Election election;

  ElectionFixture() {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    StateStoreClient client =
        new StateStoreClient(
            time, rateLimiter, transport, new Endpoint("127.0.0.1", 1), CALL_TIMEOUT);
    records =
        new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));
    election =
        new Election(
            time,
            new StateStoreAccess(client, rateLimiter, records),
            new SplittableRandom(3),
            new Timings(
                Duration.ofMillis(2500),
                Duration.ofSeconds(12),
                Duration.ofSeconds(17),
                Duration.ofSeconds(4),
                CALL_TIMEOUT,
                CALL_TIMEOUT,
                CALL_TIMEOUT),
            new ProcessIdentity("node-0", "life-1"),
            reachability);
  }

  /** Starts the node and waits until it leads. */
  void startAndLead() {
    records.start();
    election.onLeadershipChange(() -> {});
    election.start();
    runFor(3);
    assertTrue(election.isLeader());
  }

  void runFor(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
  }

  /**
   * Records that a leader has lost leadership, which makes the target length of the lease longer.
   */
  void recordLeadershipLoss() {
    reachability.recordLeadershipLoss(time.now());
  }

  /**
   * Returns the id of the lease to which the leader's record is attached, as the record names it.
   */
  long leaseOfLeaderRecord() {
    return stateStore.value(Records.LEADER).path("lease").longValue();
  }

  VirtualTime time() {
    return time;
  }

  FakeStateStore stateStore() {
    return stateStore;
  }

  ControlledTransport transport() {
    return transport;
  }

  Election election() {
    return election;
  }
}
