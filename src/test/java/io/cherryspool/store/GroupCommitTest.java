package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Fate;
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
  private final List<Request> swallowed = new ArrayList<>();
  private boolean swallow;
  private final StateStoreClient client =
      new StateStoreClient(
          time,
          new RateLimiter(time, 1, 1000, 1000),
          (to, request, deadline) -> {
            CompletableFuture<Reply> result = new CompletableFuture<>();
            if (swallow) {
              swallow = false;
              swallowed.add(request);
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

  private final ControlledTransport line = new ControlledTransport(time, state);

  /** On a line of which single messages can be decided on. */
  private GroupCommit lined() {
    RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
    Endpoint service = new Endpoint("127.0.0.1", 1);
    StateStoreClient to =
        new StateStoreClient(time, rateLimiter, line, service, Duration.ofSeconds(1));
    return new GroupCommit(time, to, rateLimiter, 8, 100, Duration.ofSeconds(1));
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
  void oneKnownKeyDoesNotFailTheOthers() {
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

  /** Users are told to come back at once rather than held until their deadline. */
  @Test
  void whatTheRateLimiterCantTakeIsRefusedWithinASecond() {
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

  /** Every third transaction held up for seconds cost each user a second and a try. */
  @Test
  void aTransactionThatIsHeldUpGoesOnceMoreAndItsLateCopyChangesNothing() {
    GroupCommit commits = commits(1000, 100);
    swallow = true;
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.3);
    assertEquals(true, result.getNow(null));
    state.handle(swallowed.get(0)).thenAccept(late -> assertEquals(409, late.status()));
    assertEquals(1, swallowed.size());
  }

  /** The second copy meets what the first has written; the callers then read what is there. */
  @Test
  void aGroupAppliedByACopyWithoutAnswerCountsAsConflictForEachOfIt() {
    GroupCommit commits = lined();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/c");
    line.interceptNext(ControlledTransport.COMMIT, Fate.LOSE_ANSWER);
    run(0.01);
    assertEquals(true, first.getNow(null));
    run(0.5);
    assertEquals(List.of(false, false, false), known(group));
    assertNotNull(state.value("c/c"));
    assertEquals(3, line.sentCount(ControlledTransport.COMMIT));
  }

  @Test
  void severalConflictsInAGroupLeaveTheRestToOneMoreTransaction() {
    GroupCommit commits = lined();
    putAll(commits, "c/a", "c/b");
    run(0.1);
    long before = line.sentCount(ControlledTransport.COMMIT);
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/c", "c/b", "c/d");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(false, true, false, true), known(group));
    assertEquals(before + 3, line.sentCount(ControlledTransport.COMMIT));
  }

  /** A user that repeats a request in a hurry cost the others a transaction for each. */
  @Test
  void repeatedChangesSettleWithTheFirstOfThem() {
    GroupCommit commits = lined();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    List<CompletableFuture<Boolean>> group =
        putAll(commits, "c/a", "c/a", "c/b", "c/a", "c/a", "c/a", "c/c", "c/first", "c/a", "c/a");
    run(0.1);
    assertEquals(true, first.getNow(null));
    assertEquals(
        List.of(true, false, true, false, false, false, true, false, false, false), known(group));
    assertEquals(
        3,
        line.sentCount(ControlledTransport.COMMIT),
        "the first, the group, and the group without what conflicts");
  }

  @Test
  void repeatedChangesThatMeetTheLimitGoAgain() {
    GroupCommit commits = lined();
    CompletableFuture<Boolean> first = put(commits, "c/first");
    line.replyNext(ControlledTransport.COMMIT, 429, "{}");
    List<CompletableFuture<Boolean>> group = putAll(commits, "c/a", "c/b", "c/a");
    run(0.1);
    line.release(ControlledTransport.COMMIT);
    run(0.3);
    assertEquals(true, first.getNow(null));
    assertEquals(List.of(true, true, false), known(group));
  }

  /** It can't be told what failed, and the same would be sent over and over. */
  @ParameterizedTest
  @ValueSource(strings = {"[]", "[\"c/other\"]"})
  void aConflictThatNamesNoneOfTheGroupIsNoAnswerToAnyOfThem(String failed) {
    GroupCommit commits = lined();
    line.replyNext(ControlledTransport.COMMIT, 409, "{\"failed\":" + failed + ",\"epoch\":1}");
    CompletableFuture<Boolean> result = put(commits, "c/a");
    run(0.1);
    line.release(ControlledTransport.COMMIT);
    run(0.1);
    assertTrue(result.isCompletedExceptionally());
    assertEquals(1, line.sentCount(ControlledTransport.COMMIT));
  }
}
