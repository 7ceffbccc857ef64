package io.cherryspool.controller.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.cherryspool.http.Endpoint;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests when the outcome of a round is reported as known. Before that, the next round must not be
 * planned, since the records may not show which room is taken.
 */
class RoundCommitterTest {
  private static final String SHARD_KEY = "c/progress/req-000001/0";

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport transport = new ControlledTransport(time, stateStore);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(
          time, rateLimiter, transport, new Endpoint("127.0.0.1", 1), Duration.ofSeconds(1));
  private final RoundCommitter committer = new RoundCommitter(time, client, rateLimiter, 8, 0);
  private int knownOutcomes;

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule more.
    }
  }

  private void commit() {
    StateStoreProtocol.Change change =
        new StateStoreProtocol.Change(SHARD_KEY, Json.object().put("x", 1), 0);
    ChangeSet changeSet =
        new ChangeSet(Map.of(SHARD_KEY, 0L), List.of(change), 20, RateLimiter.WriteClass.ROUND);
    committer.commit(List.of(changeSet), () -> knownOutcomes++);
  }

  /** The second copy conflicts with the change that the first copy has written. */
  @Test
  void conflictWithAnEarlierCopyMakesTheOutcomeKnown() {
    transport.interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    commit();
    run(0.2);
    assertNotNull(stateStore.value(SHARD_KEY));
    assertEquals(0, knownOutcomes);
    run(0.2);
    assertEquals(1, knownOutcomes);
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void refusalOfTheOnlyCopyMakesTheOutcomeKnown(int status) {
    transport.replaceNextReply(ControlledTransport.COMMIT, status, "{}");
    commit();
    run(0.01);
    transport.release(ControlledTransport.COMMIT);
    assertEquals(1, knownOutcomes);
    assertNull(stateStore.value(SHARD_KEY));
  }

  /**
   * The earlier copies may still be executed seconds later. A round planned in between would assign
   * the same room and the same part of a team's quota to other tasks.
   */
  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void refusalOfALaterCopyLeavesTheOutcomeUnknown(int status) {
    transport.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    transport.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    transport.replaceNextReply(ControlledTransport.COMMIT, status, "{}");
    commit();
    run(1.7);
    assertEquals(
        3,
        transport.sentCount(ControlledTransport.COMMIT),
        "two copies without an answer, and a refused one");
    transport.releaseLast(ControlledTransport.COMMIT);
    assertEquals(0, knownOutcomes);
    transport.release(ControlledTransport.COMMIT);
    assertNotNull(stateStore.value(SHARD_KEY), "an earlier copy was executed late");
    run(1);
    assertEquals(1, knownOutcomes);
  }

  @Test
  void stoppedCommitterReportsNoOutcome() {
    transport.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    commit();
    run(0.01);
    committer.stop();
    transport.release(ControlledTransport.COMMIT);
    run(5);
    assertEquals(0, knownOutcomes);
  }
}
