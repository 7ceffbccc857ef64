package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Interception;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GroupCommitTest {
  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final List<Request> droppedRequests = new ArrayList<>();
  private boolean isNextRequestDropped;
  private final StateStoreClient client =
      new StateStoreClient(
          time,
          new RateLimiter(time, 1, 1000, 1000),
          (to, request, deadline) -> {
            CompletableFuture<Reply> result = new CompletableFuture<>();
            if (isNextRequestDropped) {
              isNextRequestDropped = false;
              droppedRequests.add(request);
              return result;
            }
            time.schedule(
                Duration.ofMillis(5),
                () -> stateStore.handle(request).thenAccept(result::complete));
            return result;
          },
          new Endpoint("127.0.0.1", 1),
          Duration.ofSeconds(1));

  private GroupCommit newGroupCommit(double writeRps, int maxQueue) {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, writeRps);
    return new GroupCommit(time, client, rateLimiter, 8, maxQueue, Duration.ofSeconds(1));
  }

  private final ControlledTransport transport = new ControlledTransport(time, stateStore);

  /**
   * Creates a group commit that uses {@link #transport}, which can hold or replace single messages.
   */
  private GroupCommit newGroupCommitOverTransport() {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    Endpoint service = new Endpoint("127.0.0.1", 1);
    StateStoreClient client =
        new StateStoreClient(time, rateLimiter, transport, service, Duration.ofSeconds(1));
    return new GroupCommit(time, client, rateLimiter, 8, 100, Duration.ofSeconds(1));
  }

  private List<CompletableFuture<Boolean>> putAll(GroupCommit commits, String... keys) {
    return Stream.of(keys).map(key -> put(commits, key)).toList();
  }

  private static List<Boolean> resultsSoFar(List<CompletableFuture<Boolean>> results) {
    return results.stream().map(result -> result.getNow(null)).toList();
  }

  private static CompletableFuture<Boolean> put(GroupCommit commits, String key) {
    return commits.submit(
        RateLimiter.WriteClass.SUBMIT,
        Map.of(key, 0L),
        new StateStoreProtocol.Change(key, Json.object().put("x", 1), 0));
  }

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
  }

  @Test
  void aChangeOfAnExistingKeyDoesNotFailTheOtherChanges() {
    GroupCommit commits = newGroupCommit(1000, 100);
    put(commits, "c/a");
    run(1);
    List<CompletableFuture<Boolean>> results = new ArrayList<>();
    for (String key : List.of("c/b", "c/a", "c/c", "c/c")) {
      results.add(put(commits, key));
    }
    run(1);
    assertEquals(
        List.of(true, false, true, false), results.stream().map(f -> f.getNow(null)).toList());
  }

  /** A user gets an error early instead of waiting until the deadline of the request. */
  @Test
  void changesBeyondTheRateLimitAreRejectedWithinTheMaximumWait() {
    GroupCommit commits = newGroupCommit(5, 20);
    List<CompletableFuture<Boolean>> results = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      results.add(put(commits, "c/" + i));
    }
    assertTrue(results.get(99).isCompletedExceptionally(), "the length of the queue is limited");
    run(2);
    assertTrue(
        results.stream().allMatch(CompletableFuture::isDone),
        "every change is completed within two seconds");
    long accepted = results.stream().filter(f -> !f.isCompletedExceptionally()).count();
    assertTrue(accepted >= 4 && accepted <= 15, "accepted changes: " + accepted);
  }

  /**
   * Without the second copy, users would have to retry each request whose transaction the state
   * store delays by seconds.
   */
  @Test
  void aDelayedTransactionIsSentAgainAndItsLateCopyChangesNothing() {
    GroupCommit commits = newGroupCommit(1000, 100);
    isNextRequestDropped = true;
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.3);
    assertEquals(true, result.getNow(null));
    stateStore.handle(droppedRequests.get(0)).thenAccept(late -> assertEquals(409, late.status()));
    assertEquals(1, droppedRequests.size());
  }

  /**
   * The conditions of the second copy fail because the first copy was applied. Callers then read
   * the records.
   */
  @Test
  void aBatchWhoseAnswerIsLostIsReportedAsAConflictForEachChange() {
    GroupCommit commits = newGroupCommitOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/c");
    transport.interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    run(0.01);
    assertEquals(true, first.getNow(null));
    run(0.5);
    assertEquals(List.of(false, false, false), resultsSoFar(group));
    assertNotNull(stateStore.value("c/c"));
    assertEquals(3, transport.sentCount(ControlledTransport.COMMIT));
  }

  @Test
  void changesWithoutConflictsAreCommittedByASecondTransaction() {
    GroupCommit commits = newGroupCommitOverTransport();
    putAll(commits, "c/a", "c/b");
    run(0.1);
    long before = transport.sentCount(ControlledTransport.COMMIT);
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/c", "c/b", "c/d");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(false, true, false, true), resultsSoFar(group));
    assertEquals(before + 3, transport.sentCount(ControlledTransport.COMMIT));
  }

  /**
   * Without sharing, each repetition of a request would fail a transaction, and all other changes
   * in it would need one more transaction.
   */
  @Test
  void duplicatesShareTheTransactionOfTheFirstChange() {
    GroupCommit commits = newGroupCommitOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group =
        putAll(commits, "c/a", "c/a", "c/b", "c/a", "c/a", "c/a", "c/c", "c/first", "c/a", "c/a");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(
        List.of(true, false, true, false, false, false, true, false, false, false),
        resultsSoFar(group));
    assertEquals(
        3,
        transport.sentCount(ControlledTransport.COMMIT),
        "one for the first change, one for the batch, one for the batch without the conflicting changes");
  }

  @Test
  void rateLimitedChangesAndTheirDuplicatesAreSentAgain() {
    GroupCommit commits = newGroupCommitOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    transport.replaceNextReply(ControlledTransport.COMMIT, 429, "{}");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/a");
    run(0.1);
    transport.release(ControlledTransport.COMMIT);
    run(0.3);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(true, true, false), resultsSoFar(group));
  }

  /** It is unknown which change failed, so the same transaction would be sent again and again. */
  @ParameterizedTest
  @ValueSource(strings = {"[]", "[\"c/other\"]"})
  void aConflictWithoutAFailedConditionFailsAllChanges(String failed) {
    GroupCommit commits = newGroupCommitOverTransport();
    transport.replaceNextReply(
        ControlledTransport.COMMIT, 409, "{\"failed\":" + failed + ",\"epoch\":1}");
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.1);
    transport.release(ControlledTransport.COMMIT);
    run(0.1);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(1, transport.sentCount(ControlledTransport.COMMIT));
  }
}
