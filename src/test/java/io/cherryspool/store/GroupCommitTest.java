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
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final List<Request> droppedRequests = new ArrayList<>();
  private boolean dropsNext;
  private final StateStoreClient client =
      new StateStoreClient(
          time,
          new RateLimiter(time, 1, 1000, 1000),
          (to, request, deadline) -> {
            CompletableFuture<Reply> result = new CompletableFuture<>();
            if (dropsNext) {
              dropsNext = false;
              droppedRequests.add(request);
              return result;
            }
            time.schedule(
                Duration.ofMillis(5), () -> state.handle(request).thenAccept(result::complete));
            return result;
          },
          new Endpoint("127.0.0.1", 1),
          Duration.ofSeconds(1));

  private GroupCommit commits(double writeRps, int maxQueue) {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, writeRps);
    return new GroupCommit(time, client, rateLimiter, 8, maxQueue, Duration.ofSeconds(1));
  }

  private final ControlledTransport transport = new ControlledTransport(time, state);

  /** Commits over the transport that holds or replaces single messages. */
  private GroupCommit commitsOverTransport() {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    Endpoint service = new Endpoint("127.0.0.1", 1);
    StateStoreClient client =
        new StateStoreClient(time, rateLimiter, transport, service, Duration.ofSeconds(1));
    return new GroupCommit(time, client, rateLimiter, 8, 100, Duration.ofSeconds(1));
  }

  private List<CompletableFuture<Boolean>> putAll(GroupCommit commits, String... keys) {
    return Stream.of(keys).map(key -> put(commits, key)).toList();
  }

  private static List<Boolean> known(List<CompletableFuture<Boolean>> results) {
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
      // Each step may schedule more.
    }
  }

  @Test
  void anExistingKeyDoesNotFailTheOtherChanges() {
    GroupCommit commits = commits(1000, 100);
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

  /** Users are refused early rather than kept waiting until their deadline. */
  @Test
  void changesBeyondTheRateLimitAreRefusedWithinASecond() {
    GroupCommit commits = commits(5, 20);
    List<CompletableFuture<Boolean>> results = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      results.add(put(commits, "c/" + i));
    }
    assertTrue(results.get(99).isCompletedExceptionally(), "the queue is bounded");
    run(2);
    assertTrue(results.stream().allMatch(CompletableFuture::isDone), "nothing waits for long");
    long taken = results.stream().filter(f -> !f.isCompletedExceptionally()).count();
    assertTrue(taken >= 4 && taken <= 15, "taken " + taken);
  }

  /** Without it, transactions that the service delays by seconds cost their users a retry each. */
  @Test
  void aDelayedTransactionIsSentAgainAndItsLateCopyChangesNothing() {
    GroupCommit commits = commits(1000, 100);
    dropsNext = true;
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.3);
    assertEquals(true, result.getNow(null));
    state.handle(droppedRequests.get(0)).thenAccept(late -> assertEquals(409, late.status()));
    assertEquals(1, droppedRequests.size());
  }

  /** The second copy conflicts with what the first has written; callers then read the records. */
  @Test
  void aGroupAppliedWithoutAnAnswerIsAConflictForEachChange() {
    GroupCommit commits = commitsOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/c");
    transport.interceptNext(ControlledTransport.COMMIT, Interception.DROP_REPLY);
    run(0.01);
    assertEquals(true, first.getNow(null));
    run(0.5);
    assertEquals(List.of(false, false, false), known(group));
    assertNotNull(state.value("c/c"));
    assertEquals(3, transport.sentCount(ControlledTransport.COMMIT));
  }

  @Test
  void changesBesideConflictsAreCommittedByOneMoreTransaction() {
    GroupCommit commits = commitsOverTransport();
    putAll(commits, "c/a", "c/b");
    run(0.1);
    long before = transport.sentCount(ControlledTransport.COMMIT);
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/c", "c/b", "c/d");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(false, true, false, true), known(group));
    assertEquals(before + 3, transport.sentCount(ControlledTransport.COMMIT));
  }

  /** Without it, each repetition of a request costs all others one more transaction. */
  @Test
  void duplicatesShareTheTransactionOfTheFirst() {
    GroupCommit commits = commitsOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group =
        putAll(commits, "c/a", "c/a", "c/b", "c/a", "c/a", "c/a", "c/c", "c/first", "c/a", "c/a");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(
        List.of(true, false, true, false, false, false, true, false, false, false), known(group));
    assertEquals(
        3,
        transport.sentCount(ControlledTransport.COMMIT),
        "the first, the group, and the group without what conflicts");
  }

  @Test
  void rateLimitedChangesAndTheirDuplicatesAreSentAgain() {
    GroupCommit commits = commitsOverTransport();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    transport.replyNext(ControlledTransport.COMMIT, 429, "{}");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/a");
    run(0.1);
    transport.release(ControlledTransport.COMMIT);
    run(0.3);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(true, true, false), known(group));
  }

  /** What failed is unknown, and the same transaction would be sent again and again. */
  @ParameterizedTest
  @ValueSource(strings = {"[]", "[\"c/other\"]"})
  void aConflictThatNamesNoConditionFailsAllChanges(String failed) {
    GroupCommit commits = commitsOverTransport();
    transport.replyNext(ControlledTransport.COMMIT, 409, "{\"failed\":" + failed + ",\"epoch\":1}");
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.1);
    transport.release(ControlledTransport.COMMIT);
    run(0.1);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(1, transport.sentCount(ControlledTransport.COMMIT));
  }
}
