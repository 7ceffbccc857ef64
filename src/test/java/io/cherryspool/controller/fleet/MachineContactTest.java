package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What a machine's heartbeats show of the replies to them; a late copy shows nothing. */
class MachineContactTest {
  private final MachineContact contact = new MachineContact();

  private static WorkerHeartbeat heartbeat(long agentEpoch, long sequence, long token) {
    return new WorkerHeartbeat(
        "host-1", "127.0.0.1:1", "box", "a", false, agentEpoch, sequence, token, null, List.of());
  }

  /** A heartbeat comes and is answered at that second; false if it was answered before. */
  private boolean exchange(long agentEpoch, long sequence, long token, int second) {
    WorkerHeartbeat heartbeat = heartbeat(agentEpoch, sequence, token);
    contact.accept(heartbeat, Duration.ofSeconds(second));
    return contact.recordReply(heartbeat, 50 + second, Duration.ofSeconds(second));
  }

  /** Such a machine kept sending heartbeats and was given work lease after lease. */
  @Test
  void repliesWithoutEffectOnTheNextHeartbeatCountUntilOneHasIt() {
    exchange(1, 1, 0, 1);
    assertEquals(0, contact.ignoredReplies(), "it had no reply before");
    exchange(1, 2, 51, 3);
    assertEquals(0, contact.ignoredReplies(), "merely between heartbeats");
    exchange(1, 3, 51, 6);
    exchange(1, 4, 51, 9);
    assertEquals(2, contact.ignoredReplies());
    assertEquals(
        Optional.of(Duration.ofSeconds(4)), contact.notReceivingFor(Duration.ofSeconds(10)));
    exchange(2, 5, 51, 20);
    assertEquals(
        3, contact.ignoredReplies(), "a new agent epoch is no sign that it receives replies");
    contact.accept(heartbeat(2, 6, 70), Duration.ofSeconds(21));
    assertEquals(0, contact.ignoredReplies(), "an acknowledged token of a later reply is one");
  }

  @Test
  void aLateCopyIsNotAnsweredAgainAndRenewsNothing() {
    assertTrue(exchange(1, 1, 0, 1));
    assertTrue(exchange(1, 2, 51, 3));
    Duration before = contact.lastHeartbeatAt();
    assertFalse(exchange(1, 1, 0, 30), "a copy of the first");
    assertFalse(exchange(1, 2, 51, 40), "a copy of the newest");
    assertEquals(before, contact.lastHeartbeatAt());
    assertEquals(Optional.of(Duration.ofSeconds(3)), contact.lastReplyAt());
    assertEquals(0, contact.ignoredReplies(), "nor does it count as an ignored reply");
  }

  /** The worker waits for the reply to a heartbeat that a direct call's answer has overtaken. */
  @Test
  void aHeartbeatOvertakenByADirectAnswerStillCountsAsAnswered() {
    contact.accept(heartbeat(1, 8, 60), Duration.ofSeconds(5));
    assertTrue(exchange(1, 7, 50, 6));
    assertEquals(Optional.of(Duration.ofSeconds(6)), contact.lastReplyAt());
  }
}
