package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that reads of the replica are linearizable, and when they are rejected. */
class ReplicaTest {
  private static final String JOB = "req-000001";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport transport = new ControlledTransport(time, stateStore);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(
          time, rateLimiter, transport, new Endpoint("127.0.0.1", 1), CALL_TIMEOUT);
  private final Replica replica =
      new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL_TIMEOUT.dividedBy(2));

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
  }

  /** Writes the record of a job as another node does that accepts it. */
  private void accept(String id) {
    var record = Records.encodeJob(JobFixture.job(id, Priority.NORMAL, 1, 1), 100);
    stateStore.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.jobKey(id), 0L),
            List.of(new StateStoreProtocol.Change(Records.jobKey(id), record, 0))));
  }

  /** Writes the outcome of a job as another node does that cancels it. */
  private void cancel(String id) {
    stateStore.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.outcomeKey(id), 0L),
            List.of(
                new StateStoreProtocol.Change(
                    Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0))));
  }

  /** Loads the replica. The outstanding watch will be answered with 410, as after compaction. */
  private void load() {
    transport.replaceNextReply(ControlledTransport.WATCH, 410, "{}");
    replica.start();
    run(0.05);
    assertTrue(replica.isLoaded());
  }

  private static boolean hasSucceeded(CompletableFuture<Void> result) {
    return result.isDone() && !result.isCompletedExceptionally();
  }

  @Test
  void aCallerIsNotAnsweredByAReadThatWasSentBeforeItsCall() {
    load();
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REPLY);
    CompletableFuture<Void> before = replica.refresh();
    run(0.05);
    CompletableFuture<Void> after = replica.refresh();
    accept(JOB);
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REQUEST);
    transport.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(hasSucceeded(before));
    assertNull(replica.job(JOB), "the read was executed before the job was accepted");
    assertFalse(after.isDone(), "its own read is still outstanding");
    transport.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(hasSucceeded(after));
    assertNotNull(replica.job(JOB));
  }

  @Test
  void callersFailImmediatelyDuringAReload() {
    load();
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REPLY);
    CompletableFuture<Void> sent = replica.refresh();
    run(0.05);
    CompletableFuture<Void> waiting = replica.refresh();
    transport.interceptNext("/keys", Interception.HOLD_REQUEST);
    transport.release(ControlledTransport.WATCH);
    assertFalse(replica.isLoaded());
    assertTrue(
        waiting.isCompletedExceptionally(),
        "its read would start at a revision that was compacted");
    assertTrue(replica.refresh().isCompletedExceptionally());
    transport.release(ControlledTransport.READ);
    assertTrue(
        hasSucceeded(sent),
        "a read that was sent before the reload is valid for the records that are still in memory");
    transport.release("/keys");
    run(0.05);
    CompletableFuture<Void> later = replica.refresh();
    run(0.05);
    assertTrue(hasSucceeded(later));
  }

  /** Callers may have been answered from a read that was executed after the read of the reload. */
  @Test
  void aReloadNeverSetsTheReplicaBackToAnOlderRevision() {
    load();
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REQUEST);
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REPLY);
    transport.release(ControlledTransport.WATCH);
    run(0.05);
    accept(JOB);
    transport.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(hasSucceeded(reading));
    assertNotNull(replica.job(JOB), "a caller may have been answered with the job");
    assertFalse(replica.isLoaded());
    transport.release(ControlledTransport.READ);
    assertNotNull(replica.job(JOB));
    run(0.05);
    assertTrue(replica.isLoaded());
    assertNotNull(replica.job(JOB));
  }

  /**
   * The answer to the read contains the job without its outcome, which the reload has read already.
   */
  @Test
  void aReadAnsweredAfterAReloadChangesNothing() {
    load();
    accept(JOB);
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REPLY);
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    cancel(JOB);
    transport.release(ControlledTransport.WATCH);
    run(0.05);
    assertEquals(Outcome.CANCELLED, replica.job(JOB).outcome());
    Duration confirmed = replica.lastConfirmedAt();
    transport.release(ControlledTransport.READ);
    assertTrue(hasSucceeded(reading));
    assertEquals(Outcome.CANCELLED, replica.job(JOB).outcome());
    assertEquals(confirmed, replica.lastConfirmedAt(), "the read was sent earlier than the reload");
  }

  /**
   * The first reload has read the compacted changes. While a second one ran, the requests of users
   * would be rejected again.
   */
  @Test
  void aCompactedReadSentBeforeAReloadStartsNoOtherReload() {
    load();
    accept(JOB);
    transport.replaceNextReply(ControlledTransport.READ, 410, "{}");
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    transport.release(ControlledTransport.WATCH);
    run(0.05);
    assertTrue(replica.isLoaded());
    transport.release(ControlledTransport.READ);
    assertTrue(reading.isCompletedExceptionally());
    assertTrue(replica.isLoaded());
    run(0.05);
    assertEquals(2, transport.sentCount("/keys"));
  }
}
