package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerCommand;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which commands count as delivered, and which direct calls as pending. */
class CommandDeliveryTest {
  private static final Duration NOW = Duration.ofSeconds(100);
  private static final Duration LIMIT = Duration.ofSeconds(1);
  private static final WorkerCommand START = WorkerCommand.start(new TaskId("req-000001", 0), 1);
  private static final WorkerCommand STOP =
      WorkerCommand.stop(new TaskId("req-000001", 1), 2, Duration.ZERO);

  private final CommandDelivery delivery = new CommandDelivery();

  @Test
  void anUnansweredCallStaysPendingAndDelaysTheNextCall() {
    delivery.recordCallStarted(List.of(), 7);
    assertFalse(delivery.mayCall(NOW), "one call at a time");
    assertEquals(7, delivery.highestPendingToken());
    delivery.recordCallFailed(NOW.plusSeconds(2));
    assertFalse(delivery.isCallInFlight());
    assertFalse(delivery.mayCall(NOW.plusSeconds(1)));
    assertTrue(delivery.mayCall(NOW.plusSeconds(2)));
    delivery.recordCallStarted(List.of(), 9);
    assertEquals(9, delivery.highestPendingToken());
    delivery.recordCallAnswered();
    assertEquals(7, delivery.highestPendingToken(), "the first call may still be executed");
  }

  @Test
  void onlyCommandsOfTheLastReplyCountAsDeliveredWithinTheLimit() {
    delivery.recordDelivered(List.of(START), 7, NOW);
    assertTrue(delivery.wasDeliveredWithin(START, LIMIT, NOW));
    assertFalse(delivery.wasDeliveredWithin(START, LIMIT, NOW.plus(LIMIT)));
    assertFalse(delivery.wasDeliveredWithin(STOP, LIMIT, NOW));
    delivery.recordDelivered(List.of(STOP), 8, NOW);
    assertFalse(delivery.wasDeliveredWithin(START, LIMIT, NOW));
  }

  @Test
  void aStartKeepsItsLastTokenUntilItsAttemptHasEnded() {
    assertEquals(3, delivery.startTokenOr(START, 3));
    delivery.recordDelivered(List.of(START), 7, NOW);
    delivery.recordDelivered(List.of(STOP), 8, NOW);
    assertEquals(7, delivery.startTokenOr(START, 3), "the start may still be in flight");
    delivery.recordCallStarted(List.of(START, STOP), 9);
    assertEquals(9, delivery.startTokenOr(START, 3));
    assertEquals(3, delivery.startTokenOr(STOP, 3), "a stop has no start token");
    delivery.removeStart(START);
    assertEquals(3, delivery.startTokenOr(START, 3));
  }
}
