package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.model.Team;
import io.cherryspool.sim.fakes.ControlledTransport;
import io.cherryspool.sim.fakes.ControlledTransport.Fate;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.GroupCommit;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.Replica;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two nodes and their users, who ask both of them at any moment. */
class UserApiTest {
  private static final String JOB = "req-000001";
  private static final Duration CALL = Duration.ofSeconds(1);
  private static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ZERO, List.of("a")));

  private final VirtualTime time = new VirtualTime();
  private final FakeStateStore state = new FakeStateStore(time, new SplittableRandom(1), 0);
  private final Node one = new Node();
  private final Node other = new Node();

  /** One node as far as users see it. */
  private final class Node {
    private final ControlledTransport line = new ControlledTransport(time, state);
    private final Replica replica;
    private final UserApi users;
    private List<MachineType> types = TYPES;
    private boolean behind;

    Node() {
      RateLimiter rateLimiter = new RateLimiter(time, 1, 1000, 1000);
      StateStoreClient client =
          new StateStoreClient(time, rateLimiter, line, new Endpoint("127.0.0.1", 1), CALL);
      replica = new Replica(time, client, rateLimiter, Duration.ofMillis(5), CALL.dividedBy(2));
      GroupCommit commits = new GroupCommit(time, client, rateLimiter, 8, 32, CALL);
      users =
          new UserApi(
              replica,
              commits,
              Map.of("red", new Team("red", 0, 0, 0, 0)),
              () -> types,
              () -> Instant.EPOCH,
              8000,
              20,
              () -> behind);
    }

    /** All keys are read again, and stay so until the line lets them go. */
    void reload() {
      line.interceptNext("/keys", Fate.HOLD_REQUEST);
      line.replyNext(ControlledTransport.READ, 410, "{}");
      replica.refresh();
      run(0.01);
      line.release(ControlledTransport.READ);
      assertFalse(replica.isLoaded());
    }
  }

  @BeforeEach
  void load() {
    one.replica.start();
    other.replica.start();
    run(0.05);
  }

  private void run(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each step may schedule more.
    }
  }

  private static ObjectNode description() {
    return UserProtocol.encodeJob(JobFixture.job(JOB, Priority.NORMAL, 2, 1));
  }

  private static byte[] job() {
    return Json.toBytes(description());
  }

  private static byte[] without(String field) {
    ObjectNode node = description();
    node.remove(field);
    return Json.toBytes(node);
  }

  private static byte[] ofTeam(String team) {
    return Json.toBytes(description().put("owner", team));
  }

  private static byte[] tooLarge() {
    return Json.toBytes(description().put("vcpus", 100));
  }

  /** The status with the job's own, if it has one; a refusal must say when to come back. */
  private static String told(CompletableFuture<Reply> answer) {
    assertTrue(answer.isDone(), "held back");
    Reply reply = answer.join();
    assertEquals(reply.status() == 503, reply.retryAfterSeconds() > 0);
    try {
      String status = Json.parseObject(reply.body()).path("status").asText();
      return (reply.status() + " " + status).trim();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** What the user is told, and no moment later, so that the next may ask before news spreads. */
  private String soon(CompletableFuture<Reply> answer) {
    Duration end = time.now().plusMillis(50);
    while (!answer.isDone() && time.runNextEvent(end)) {
      // Each step may schedule more.
    }
    return told(answer);
  }

  private void end(Outcome outcome) {
    state.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.outcomeKey(JOB), 0L),
            List.of(
                new StateStoreProtocol.Change(
                    Records.outcomeKey(JOB), Records.encodeOutcome(outcome), 0))));
  }

  @Test
  void bothNodesAgreeRightAfterEachAnswer() {
    assertEquals("404", soon(other.users.poll(JOB)));
    assertEquals("201 pending", soon(one.users.submit(job())));
    assertEquals("200 pending", soon(other.users.poll(JOB)));
    assertEquals("200 pending", soon(other.users.submit(job())));
    assertEquals("200 withdrawn", soon(other.users.cancel(JOB)));
    assertEquals("200 withdrawn", soon(one.users.poll(JOB)));
    assertEquals("200 withdrawn", soon(one.users.submit(job())));
    assertEquals("200 withdrawn", soon(one.users.cancel(JOB)));
  }

  /** The watch, which usually brings the news before anybody asks, is of no help here. */
  @Test
  void aNodeThatHasNotHeardOfAnAnswerReadsBeforeItsOwn() {
    other.line.interceptNext(ControlledTransport.WATCH, Fate.LOSE_ANSWER);
    run(10.5);
    other.line.interceptNext(ControlledTransport.WATCH, Fate.LOSE_ANSWER);
    soon(one.users.submit(job()));
    assertEquals("200 pending", soon(other.users.poll(JOB)));
    assertEquals("200 withdrawn", soon(one.users.cancel(JOB)));
    assertNull(other.replica.job(JOB).outcome(), "not heard of yet");
    assertEquals("200 withdrawn", soon(other.users.submit(job())));
  }

  @Test
  void aJobThatIsDoneStaysDoneWhoeverCancelsIt() {
    soon(one.users.submit(job()));
    end(Outcome.DONE);
    assertEquals("200 done", soon(other.users.cancel(JOB)));
    assertEquals("200 done", soon(other.users.cancel(JOB)));
    assertEquals("200 done", soon(one.users.poll(JOB)));
    assertEquals("200 done", soon(one.users.submit(job())));
  }

  @Test
  void nobodyCancelsWhatNobodySubmitted() {
    assertEquals("404", soon(one.users.cancel(JOB)));
    assertEquals("404", soon(one.users.cancel(JOB)));
    assertNull(state.value(Records.outcomeKey(JOB)));
    assertEquals("201 pending", soon(other.users.submit(job())));
    assertEquals("200 pending", soon(one.users.poll(JOB)));
  }

  @Test
  void aSubmissionOfWhichOnlyTheAnswerIsLostIsAcceptedForAll() {
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.LOSE_ANSWER);
    CompletableFuture<Reply> first = one.users.submit(job());
    assertEquals("200 pending", soon(other.users.poll(JOB)));
    assertEquals("200 pending", soon(other.users.submit(job())));
    assertEquals("200 pending", soon(one.users.poll(JOB)));
    assertEquals("200 withdrawn", soon(other.users.cancel(JOB)));
    assertFalse(first.isDone());
    run(0.4);
    assertEquals("200 withdrawn", told(first), "its copy meets the record and reads the end");
  }

  @Test
  void aCancelOfWhichOnlyTheAnswerIsLostIsConfirmedByAll() {
    soon(one.users.submit(job()));
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.LOSE_ANSWER);
    CompletableFuture<Reply> first = one.users.cancel(JOB);
    run(0.02);
    assertEquals("200 withdrawn", soon(other.users.poll(JOB)));
    assertFalse(first.isDone());
    run(0.4);
    assertEquals("200 withdrawn", told(first));
  }

  @Test
  void aCancelThatMeetsTheEndOfTheJobTellsTheEnd() {
    soon(one.users.submit(job()));
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = one.users.cancel(JOB);
    run(0.05);
    end(Outcome.DONE);
    one.line.release(ControlledTransport.COMMIT);
    assertEquals("200 done", soon(cancel));
  }

  /** It was once told as cancelled whatever the records said. */
  @Test
  void aCancelThatMetAConflictIsNotConfirmedWithoutAnOutcome() {
    soon(one.users.submit(job()));
    String failed = "{\"failed\":[\"" + Records.outcomeKey(JOB) + "\"],\"epoch\":1}";
    one.line.replyNext(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> cancel = one.users.cancel(JOB);
    run(0.05);
    one.line.release(ControlledTransport.COMMIT);
    assertEquals("503", soon(cancel));
    assertEquals("200 pending", soon(other.users.poll(JOB)));
    assertEquals("200 withdrawn", soon(one.users.cancel(JOB)));
  }

  @Test
  void aSubmissionThatMetAConflictIsNotCalledUnknown() {
    String failed = "{\"failed\":[\"" + Records.jobKey(JOB) + "\"],\"epoch\":1}";
    one.line.replyNext(ControlledTransport.COMMIT, 409, failed);
    CompletableFuture<Reply> submission = one.users.submit(job());
    run(0.05);
    one.line.release(ControlledTransport.COMMIT);
    assertEquals("503", soon(submission));
  }

  @Test
  void requestsRepeatedWithinOneGroupAreAllAnswered() {
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.HOLD_ANSWER);
    List<CompletableFuture<Reply>> submissions =
        List.of(
            one.users.submit(job()),
            one.users.submit(job()),
            other.users.submit(job()),
            one.users.submit(job()));
    run(0.05);
    one.line.release(ControlledTransport.COMMIT);
    run(0.1);
    assertEquals(
        1, submissions.stream().filter(each -> each.join().status() == 201).count(), "one made it");
    submissions.forEach(each -> assertTrue(told(each).endsWith(" pending")));
    List<CompletableFuture<Reply>> cancels =
        List.of(one.users.cancel(JOB), one.users.cancel(JOB), other.users.cancel(JOB));
    run(0.1);
    cancels.forEach(each -> assertEquals("200 withdrawn", told(each)));
  }

  @Test
  void whileAllKeysAreReadAgainOnlyEndsAreTold() {
    soon(one.users.submit(job()));
    one.reload();
    assertEquals("503", told(one.users.poll(JOB)));
    assertEquals("503", told(one.users.submit(job())));
    assertEquals("503", told(one.users.cancel(JOB)));
    assertEquals("503", told(one.users.submit(without("lane"))));
    assertEquals("503", told(one.users.submit(tooLarge())));
    one.line.release("/keys");
    run(0.05);
    soon(other.users.cancel(JOB));
    run(0.2);
    one.reload();
    assertEquals("200 withdrawn", told(one.users.poll(JOB)));
    assertEquals("200 withdrawn", told(one.users.submit(job())));
    assertEquals("200 withdrawn", told(one.users.cancel(JOB)));
    one.line.release("/keys");
    assertEquals("200 withdrawn", soon(one.users.poll(JOB)));
  }

  /** Its commit goes on, and the copy that it then reads is the one before or the one after. */
  @Test
  void aSubmissionAndACancelUnderWayWhenAReloadBeginsAreNotAnsweredOlder() {
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.HOLD_ANSWER);
    CompletableFuture<Reply> submission = one.users.submit(job());
    run(0.05);
    one.reload();
    one.line.release(ControlledTransport.COMMIT);
    assertEquals("201 pending", told(submission));
    assertEquals("503", told(one.users.poll(JOB)));
    one.line.release("/keys");
    run(0.05);
    assertEquals("200 pending", soon(one.users.poll(JOB)));
    one.line.interceptNext(ControlledTransport.COMMIT, Fate.HOLD_REQUEST);
    CompletableFuture<Reply> cancel = one.users.cancel(JOB);
    run(0.05);
    one.reload();
    end(Outcome.DONE);
    one.line.release(ControlledTransport.COMMIT);
    assertEquals("503", soon(cancel), "a conflict, and nothing can be read now");
    one.line.release("/keys");
    run(0.05);
    assertEquals("200 done", soon(one.users.cancel(JOB)));
  }

  @Test
  void anAcceptedJobIsNeverRefusedAgain() {
    soon(one.users.submit(job()));
    for (byte[] body : List.of(without("lane"), tooLarge(), ofTeam("nobody"))) {
      assertEquals("200 pending", soon(one.users.submit(body)));
    }
    state.setDown(true);
    for (byte[] body : List.of(job(), without("lane"), tooLarge(), ofTeam("nobody"))) {
      assertEquals("503", soon(one.users.submit(body)));
    }
  }

  /** The other node has not heard of the job, and looks before it refuses. */
  @Test
  void anAcceptedJobIsNotRefusedByANodeThatHasNotHeardOfIt() {
    for (byte[] body : List.of(without("lane"), tooLarge(), ofTeam("nobody"))) {
      Node late = new Node();
      late.replica.start();
      run(0.05);
      late.line.interceptNext(ControlledTransport.READ, Fate.HOLD_REQUEST);
      CompletableFuture<Reply> answer = late.users.submit(body);
      soon(one.users.submit(job()));
      late.line.release(ControlledTransport.READ);
      assertEquals("200 pending", soon(answer));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "no JSON",
        "[]",
        "{}",
        "null",
        "{\"ref\":7}",
        "{\"ref\":\"req-000001/3\"}",
        "{\"ref\":\"req-000001\"}",
        "{\"ref\":\"req-000001\",\"shape\":\"array\",\"lane\":\"\\ud800\"}"
      })
  void malformedBodiesAreRefusedAtOnceInAnyTrouble(String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    assertEquals("400", soon(one.users.submit(body)));
    state.setDown(true);
    assertEquals("400", soon(one.users.submit(body)));
    run(30);
    assertEquals("400", soon(one.users.submit(body)));
  }

  @Test
  void whatCanNeverRunIsRefusedAtOnceInAnyTrouble() {
    one.types = null;
    assertEquals("422", soon(one.users.submit(ofTeam("nobody"))), "needs no machine types");
    assertEquals("503", soon(one.users.submit(tooLarge())), "unless a type were that large");
    one.types = TYPES;
    assertEquals("422", soon(one.users.submit(tooLarge())));
    state.setDown(true);
    assertEquals("422", soon(one.users.submit(tooLarge())));
    assertEquals("422", soon(one.users.submit(ofTeam("nobody"))));
  }

  @Test
  void aNodeThatOthersAreAheadOfCantTell() {
    state.setDown(true);
    one.behind = true;
    assertEquals("503", soon(one.users.submit(without("lane"))));
    assertEquals("503", soon(one.users.submit(tooLarge())));
    assertEquals("400", soon(one.users.submit("no JSON".getBytes(StandardCharsets.UTF_8))));
  }

  /** The copy lacks all that happened since the history that is gone. */
  @Test
  void aNodeThatLearnsThatItsCopyIsOldCantTell() {
    one.line.interceptNext("/keys", Fate.HOLD_REQUEST);
    one.line.replyNext(ControlledTransport.READ, 410, "{}");
    CompletableFuture<Reply> answer = one.users.submit(without("lane"));
    run(0.01);
    one.line.release(ControlledTransport.READ);
    assertEquals("503", soon(answer));
  }

  /** Half a character can be read, but not be written into the job's record. */
  @Test
  void aTextThatCantBeKeptIsMalformed() {
    String text = new String(job(), StandardCharsets.UTF_8).replace("\"img\"", "\"\\ud800\"");
    assertTrue(text.contains("ud800"));
    assertEquals("400", soon(one.users.submit(text.getBytes(StandardCharsets.UTF_8))));
  }

  @Test
  void duringAnOutageEveryRefusalIsImmediate() {
    soon(one.users.submit(job()));
    state.setDown(true);
    assertEquals("503", soon(one.users.poll(JOB)));
    assertEquals("503", soon(one.users.cancel(JOB)));
    assertEquals("503", soon(one.users.submit(job())));
    assertEquals("503", soon(one.users.poll("req-000002")));
    assertEquals("503", soon(one.users.cancel("req-000002")));
    String fresh = new String(job(), StandardCharsets.UTF_8).replace(JOB, "req-000002");
    assertEquals("503", soon(one.users.submit(fresh.getBytes(StandardCharsets.UTF_8))));
    state.setDown(false);
    assertEquals("200 pending", soon(one.users.poll(JOB)));
    assertEquals("404", soon(one.users.poll("req-000002")));
    assertNotNull(state.value(Records.jobKey(JOB)));
  }
}
