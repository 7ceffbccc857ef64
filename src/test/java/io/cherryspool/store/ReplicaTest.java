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
import io.cherryspool.sim.fakes.ControlledTransport.Fate;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** What the copy may be read for, and when. */
class ReplicaTest {
  private static final String JOB = "req-000001";
  private static final Duration CALL = Duration.ofSeconds(1);

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final ControlledTransport line = new ControlledTransport(time, state);
  private final RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
  private final StateStoreClient client =
      new StateStoreClient(time, rateLimiter, line, new Endpoint("127.0.0.1", 1), CALL);
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

  /** Loaded, with a watch open that will tell that the history is gone. */
  private void load() {
    line.replyNext(ControlledTransport.WATCH, 410, "{}");
    replica.start();
    run(0.05);
    assertTrue(replica.isLoaded());
  }

  private static boolean succeeded(CompletableFuture<Void> result) {
    return result.isDone() && !result.isCompletedExceptionally();
  }

  @Test
  void aRequestIsNotAnsweredByAReadingThatWasSentBeforeIt() {
    load();
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_ANSWER);
    CompletableFuture<Void> before = replica.refresh();
    run(0.05);
    CompletableFuture<Void> after = replica.refresh();
    accept(JOB);
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_REQUEST);
    line.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(succeeded(before));
    assertNull(replica.job(JOB), "carried out before the job was accepted");
    assertFalse(after.isDone(), "its own reading is still under way");
    line.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(succeeded(after));
    assertNotNull(replica.job(JOB));
  }

  @Test
  void whileAllKeysAreReadAgainRequestsAreRefusedAtOnce() {
    load();
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_ANSWER);
    CompletableFuture<Void> sent = replica.refresh();
    run(0.05);
    CompletableFuture<Void> waits = replica.refresh();
    line.interceptNext("/keys", Fate.HOLD_REQUEST);
    line.release(ControlledTransport.WATCH);
    assertFalse(replica.isLoaded());
    assertTrue(waits.isCompletedExceptionally(), "its reading would have been sent from a gap");
    assertTrue(replica.refresh().isCompletedExceptionally());
    line.release(ControlledTransport.READ);
    assertTrue(succeeded(sent), "what was read before holds in the copy that is still there");
    line.release("/keys");
    run(0.05);
    CompletableFuture<Void> later = replica.refresh();
    run(0.05);
    assertTrue(succeeded(later));
  }

  /** What a reading carried out after the reload's own has told users must not be taken back. */
  @Test
  void aReloadNeverTakesTheCopyBack() {
    load();
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_REQUEST);
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_ANSWER);
    line.release(ControlledTransport.WATCH);
    run(0.05);
    accept(JOB);
    line.release(ControlledTransport.READ);
    run(0.05);
    assertTrue(succeeded(reading));
    assertNotNull(replica.job(JOB), "a user may have been told so");
    assertFalse(replica.isLoaded());
    line.release(ControlledTransport.READ);
    assertNotNull(replica.job(JOB));
    run(0.05);
    assertTrue(replica.isLoaded());
    assertNotNull(replica.job(JOB));
  }

  /** It tells of the job without its end, which must not be taken back. */
  @Test
  void aReadingThatReturnsAfterTheReloadChangesNothing() {
    load();
    accept(JOB);
    line.interceptNext(ControlledTransport.READ, Fate.HOLD_ANSWER);
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    cancel(JOB);
    line.release(ControlledTransport.WATCH);
    run(0.05);
    assertEquals(Outcome.CANCELLED, replica.job(JOB).outcome());
    Duration confirmed = replica.lastConfirmedAt();
    line.release(ControlledTransport.READ);
    assertTrue(succeeded(reading));
    assertEquals(Outcome.CANCELLED, replica.job(JOB).outcome());
    assertEquals(confirmed, replica.lastConfirmedAt(), "read earlier than the copy");
  }

  /** Its users would be refused for another while, for a gap that has been closed. */
  @Test
  void aReadingFromBeforeTheReloadThatFindsTheHistoryGoneBeginsNoOther() {
    load();
    accept(JOB);
    line.replyNext(ControlledTransport.READ, 410, "{}");
    CompletableFuture<Void> reading = replica.refresh();
    run(0.05);
    line.release(ControlledTransport.WATCH);
    run(0.05);
    assertTrue(replica.isLoaded());
    line.release(ControlledTransport.READ);
    assertTrue(reading.isCompletedExceptionally());
    assertTrue(replica.isLoaded());
    run(0.05);
    assertEquals(2, line.sentCount("/keys"));
  }
}
