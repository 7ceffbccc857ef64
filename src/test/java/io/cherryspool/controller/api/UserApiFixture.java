package io.cherryspool.controller.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Outcome;
import io.cherryspool.model.Priority;
import io.cherryspool.model.Resources;
import io.cherryspool.sim.fakes.FakeStateStore;
import io.cherryspool.sim.time.VirtualTime;
import io.cherryspool.store.Records;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.MalformedMessageException;
import io.cherryspool.wire.StateStoreProtocol;
import io.cherryspool.wire.UserProtocol;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;

/** Two nodes in virtual time. Users may send requests to either of them at any time. */
abstract class UserApiFixture {
  static final String JOB = "req-000001";
  static final List<MachineType> TYPES =
      List.of(
          new MachineType(
              "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ZERO, List.of("a")));

  final VirtualTime time = new VirtualTime();
  final FakeStateStore stateStore = new FakeStateStore(time, new SplittableRandom(1), 0);
  final UserApiNode firstNode = newNode();
  final UserApiNode secondNode = newNode();

  @BeforeEach
  void startNodes() {
    firstNode.start();
    secondNode.start();
    runFor(0.05);
  }

  final UserApiNode newNode() {
    return new UserApiNode(time, stateStore, TYPES);
  }

  final void runFor(double seconds) {
    Duration end = time.now().plusMillis((long) (seconds * 1000));
    while (time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
  }

  private static ObjectNode descriptionNode() {
    return UserProtocol.encodeJob(JobFixture.job(JOB, Priority.NORMAL, 2, 1));
  }

  /** Returns a description of the job that is accepted. */
  static byte[] description() {
    return Json.toBytes(descriptionNode());
  }

  static byte[] descriptionWithout(String field) {
    ObjectNode node = descriptionNode();
    node.remove(field);
    return Json.toBytes(node);
  }

  static byte[] descriptionOfTeam(String team) {
    return Json.toBytes(descriptionNode().put("owner", team));
  }

  /** Returns a description of the job with tasks that are larger than any machine. */
  static byte[] tooLargeDescription() {
    return Json.toBytes(descriptionNode().put("vcpus", 100));
  }

  /**
   * Returns the HTTP status of an answer that has already been given, followed by the job's status
   * if the answer contains one. Checks that exactly the answers with status 503 say when to retry.
   */
  static String answer(CompletableFuture<Reply> future) {
    assertTrue(future.isDone(), "the request has not been answered yet");
    Reply reply = future.join();
    assertEquals(reply.status() == 503, reply.retryAfterSeconds() > 0);
    try {
      String status = Json.parseObject(reply.body()).path("status").asText();
      return (reply.status() + " " + status).trim();
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Runs until the request is answered, for at most 50 ms, and returns the answer. Stops right
   * after the answer, before the other node reads the change.
   */
  final String promptAnswer(CompletableFuture<Reply> future) {
    Duration end = time.now().plusMillis(50);
    while (!future.isDone() && time.runNextEvent(end)) {
      // Each event may schedule further events.
    }
    return answer(future);
  }

  /** Records the outcome of the job, as the leader does. */
  final void endJob(Outcome outcome) {
    stateStore.handle(
        StateStoreProtocol.transactionRequest(
            Map.of(Records.outcomeKey(JOB), 0L),
            List.of(
                new StateStoreProtocol.Change(
                    Records.outcomeKey(JOB), Records.encodeOutcome(outcome), 0))));
  }
}
