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

/** When a round's outcome is certain: only then may the next one count on the room it sees. */
class RoundCommitterTest {
  private static final String SHARD = "c/progress/req-000001/0";

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport line = new ControlledTransport(time, state);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(
          time, rateLimiter, line, new Endpoint("127.0.0.1", 1), Duration.ofSeconds(1));
  private final RoundCommitter committer = new RoundCommitter(time, client, rateLimiter, 8, 0);
  private int certain;

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  private void commit() {
    StateStoreProtocol.Change change =
        new StateStoreProtocol.Change(SHARD, Json.object().put("x", 1), 0);
    ChangeSet changeSet =
        new ChangeSet(Map.of(SHARD, 0L), List.of(change), 20, RateLimiter.WriteClass.ROUND);
    committer.commit(List.of(changeSet), () -> certain++);
  }

  /** The second copy meets what the first has written. */
  @Test
  void aConflictWithOnesOwnCopyIsCertain() {
    line.interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    commit();
    run(0.2);
    assertNotNull(state.value(SHARD));
    assertEquals(0, certain);
    run(0.2);
    assertEquals(1, certain);
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void whatWasSurelyNotCarriedOutIsCertain(int status) {
    line.replyNext(ControlledTransport.COMMIT, status, "{}");
    commit();
    run(0.01);
    line.release(ControlledTransport.COMMIT);
    assertEquals(1, certain);
    assertNull(state.value(SHARD));
  }

  /**
   * The copies of before may be carried out seconds later. A round planned meanwhile would give the
   * same room, and the same part of a team's limit, to others.
   */
  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void aCopyThatIsRefusedLeavesTheOnesOfBeforeOpen(int status) {
    line.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    line.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REQUEST);
    line.replyNext(ControlledTransport.COMMIT, status, "{}");
    commit();
    run(1.7);
    assertEquals(
        3, line.sentCount(ControlledTransport.COMMIT), "two copies without an answer, and another");
    line.releaseLast(ControlledTransport.COMMIT);
    assertEquals(0, certain);
    line.release(ControlledTransport.COMMIT);
    assertNotNull(state.value(SHARD), "carried out late");
    run(1);
    assertEquals(1, certain);
  }

  @Test
  void aStoppedCommitterReportsNothing() {
    line.interceptNext(ControlledTransport.COMMIT, Interception.HOLD_REPLY);
    commit();
    run(0.01);
    committer.stop();
    line.release(ControlledTransport.COMMIT);
    run(5);
    assertEquals(0, certain);
  }
}
