package io.cherryspool.controller.provisioning;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.cloud.CloudClient;
import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.http.Endpoint;
import io.cherryspool.http.Reply;
import io.cherryspool.http.Request;
import io.cherryspool.model.MachineType;
import io.cherryspool.model.Resources;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.scheduler.ScalingPlanner;
import io.cherryspool.sim.time.VirtualTime;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the handling of the cloud's answers to requests for instances. */
class InstanceRequestsTest {
  private static final Duration LIST_LAG = Duration.ofSeconds(6);
  private static final MachineType MACHINE_TYPE =
      new MachineType(
          "box", new Resources(16, 0, 64), 50, 0.5, 1, 0.4, Duration.ZERO, List.of("a"));
  private static final ScalingPlanner.Offering OFFERING =
      new ScalingPlanner.Offering(MACHINE_TYPE, "a", true);
  private static final Map<String, MachineType> TYPES = Map.of("box", MACHINE_TYPE);

  private final VirtualTime time = new VirtualTime();
  private final Fleet fleet = new Fleet();
  private final List<Request> sentRequests = new ArrayList<>();
  private final List<CompletableFuture<Reply>> answers = new ArrayList<>();
  private final CloudCallSlot calls =
      new CloudCallSlot(
          new CloudClient(
              (to, request, deadline) -> answerLater(request),
              new Endpoint("127.0.0.1", 1),
              Duration.ofSeconds(1)));
  private final InstanceList list = new InstanceList(time, calls, fleet, () -> {});
  private final InstanceRequests requests =
      new InstanceRequests(time, calls, fleet, "term-5-", LIST_LAG);

  private CompletableFuture<Reply> answerLater(Request request) {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    sentRequests.add(request);
    answers.add(answer);
    return answer;
  }

  private void answerLast(int status, String body) {
    answers
        .get(answers.size() - 1)
        .complete(Reply.json(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  private void failLast() {
    answers.get(answers.size() - 1).completeExceptionally(new IOException("no answer"));
  }

  private void advance(Duration length) {
    Duration end = time.now().plus(length);
    while (time.runNextEvent(end)) {
      // Each event advances the time.
    }
  }

  @Test
  void anUnansweredRequestIsRepeatedUnchanged() {
    requests.request(OFFERING, 3);
    assertFalse(calls.isFree(), "one call at a time");
    failLast();
    assertTrue(calls.isFree());
    assertTrue(requests.hasUnansweredRequest());
    requests.repeatUnansweredRequest();
    assertArrayEquals(
        sentRequests.get(0).body(), sentRequests.get(1).body(), "the same name and size");
    answerLast(200, "{\"spindles\":[\"host-1\",\"host-2\",\"host-3\"]}");
    assertFalse(requests.hasUnansweredRequest());
    assertEquals(3, requests.provisioningOfferings(list, TYPES).size());
  }

  @Test
  void aRequestIsToBeRepeatedAfterAnOutageOfTheCloud() {
    requests.request(OFFERING, 3);
    answerLast(503, "{\"error\":\"later\"}");
    assertTrue(requests.hasUnansweredRequest());
    assertEquals(Set.of(), requests.unavailableOfferings(time.now()));
  }

  @Test
  void anOfferingWithoutCapacityIsTemporarilyUnavailable() {
    requests.request(OFFERING, 3);
    answerLast(503, "{\"error\":\"no capacity\"}");
    assertFalse(requests.hasUnansweredRequest());
    assertEquals(Set.of(OFFERING), requests.unavailableOfferings(time.now()));
    Duration later = time.now().plusSeconds(16);
    assertEquals(Set.of(), requests.unavailableOfferings(later));
  }

  @Test
  void anOfferingThatProvidesLessThanRequestedIsUnavailableToo() {
    requests.request(OFFERING, 3);
    answerLast(200, "{\"spindles\":[\"host-1\"]}");
    assertEquals(Set.of(OFFERING), requests.unavailableOfferings(time.now()));
    assertEquals(List.of(OFFERING), requests.provisioningOfferings(list, TYPES));
  }

  @Test
  void anInstanceIsProvisioningUntilItsFirstHeartbeat() {
    requests.request(OFFERING, 1);
    answerLast(200, "{\"spindles\":[\"host-1\"]}");
    fleet.recordHeartbeat(
        new WorkerHeartbeat("host-1", "127.0.0.1:1", "box", "a", true, 1, 1, 0, null, List.of()),
        time.now());
    assertEquals(List.of(), requests.provisioningOfferings(list, TYPES));
  }

  @Test
  void anInstanceThatTheListNeverShowsIsNoLongerExpected() {
    requests.request(OFFERING, 1);
    answerLast(200, "{\"spindles\":[\"host-1\"]}");
    advance(LIST_LAG.multipliedBy(4));
    assertEquals(
        1, requests.provisioningOfferings(list, TYPES).size(), "the list may still lag behind");
    advance(Duration.ofSeconds(1));
    assertEquals(List.of(), requests.provisioningOfferings(list, TYPES));
  }

  @Test
  void noCallIsMadeAfterTheEndOfTheTerm() {
    requests.request(OFFERING, 1);
    calls.close();
    answerLast(200, "{\"spindles\":[\"host-1\"]}");
    assertFalse(calls.isFree());
  }
}
