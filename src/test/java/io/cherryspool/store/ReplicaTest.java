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

/** When reads of the copy are linearizable, and when they are refused. */
class ReplicaTest {
  private static final String JOB = "req-000001";
  private static final Duration CALL = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport transport = new ControlledTransport(time, state);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(time, rateLimiter, transport, new Endpoint("127.0.0.1", 1), CALL);
  private final Replica replica =
      new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  /** Another node accepts a job. */
  private void accept(String id) {
    var record = Records.encodeJob(JobFixture.job(id, Priority.NORMAL, 1, 1), 100);
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.jobKey(id), 0L),
            List.of(new StateStoreProtocol.Change(Records.jobKey(id), record, 0))));
  }

  /** Another node cancels it. */
  private void cancel(String id) {
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.outcomeKey(id), 0L),
            List.of(
                new StateStoreProtocol.Change(
                    Records.outcomeKey(id), Records.encodeOutcome(Outcome.CANCELLED), 0))));
  }

  /** Loads, with a watch open whose answer will be that the history is gone. */
  private void load() {
    transport.replyNext(ControlledTransport.WATCH, 410, "{}");
    replica.start();
    run(0.05);
    assertTrue(replica.isLoaded());
  }

  private static boolean succeeded(CompletableFuture<Void> result) {
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
    assertTrue(succeeded(before));
    assertNull(replica.job(JOB), "carried out before the job was accepted");
    assertFalse(after.isDone(), "its own reading is still under way");
    transport.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(succeeded(after));
    assertNotNull(replica.job(JOB));
  }

  @Test
  void callersAreRefusedAtOnceDuringAReload() {
    load();
    transport.interceptNext(ControlledTransport.READ, Interception.HOLD_REPLY);
    CompletableFuture<Void> sent = replica.refresh();
    run(0.05);
    CompletableFuture<Void> waits = replica.refresh();
    transport.interceptNext("/keys", Interception.HOLD_REQUEST);
    transport.release(ControlledTransport.WATCH);
    assertFalse(replica.isLoaded());
    assertTrue(waits.isCompletedExceptionally(), "its reading would have been sent from a gap");
    assertTrue(replica.refresh().isCompletedExceptionally());
    transport.release(ControlledTransport.READ);
    assertTrue(succeeded(sent), "what was read before holds in the copy that is still there");
    transport.release("/keys");
    run(0.05);
    CompletableFuture<Void> later = replica.refresh();
    run(0.05);
    assertTrue(succeeded(later));
  }

  /** Callers may have been answered from a read that was executed after that of the reload. */
  @Test
  void aReloadNeverSetsTheCopyBack() {
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
    assertTrue(succeeded(reading));
    assertNotNull(replica.job(JOB), "a caller may have been answered so");
    assertFalse(replica.isLoaded());
    transport.release(ControlledTransport.READ);
    assertNotNull(replica.job(JOB));
    run(0.05);
    assertTrue(replica.isLoaded());
    assertNotNull(replica.job(JOB));
  }

  /** It shows the job without its outcome, which the reload has read already. */
  @Test
  void aReadThatReturnsAfterAReloadChangesNothing() {
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
    assertTrue(succeeded(reading));
    assertEquals(Outcome.CANCELLED, replica.job(JOB).outcome());
    assertEquals(confirmed, replica.lastConfirmedAt(), "read earlier than the copy");
  }

  /** A second reload would refuse users again, for a gap that is closed. */
  @Test
  void aReadFromBeforeAReloadThatFindsTheHistoryGoneStartsNoOther() {
    load();
    accept(JOB);
    transport.replyNext(ControlledTransport.READ, 410, "{}");
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
