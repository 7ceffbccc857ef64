package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the detection of ignored replies, and of late copies of heartbeats. */
class MachineContactTest {
  private final MachineContact contact = new MachineContact();

  private static WorkerHeartbeat heartbeat(long agentEpoch, long sequence, long token) {
    return new WorkerHeartbeat(
        "host-1", "127.0.0.1:1", "box", "a", false, agentEpoch, sequence, token, null, List.of());
  }

  /**
   * Receives a heartbeat and records the reply to it, both at that second; returns false if the
   * heartbeat was answered before.
   */
  private boolean exchange(long agentEpoch, long sequence, long token, int second) {
    WorkerHeartbeat heartbeat = heartbeat(agentEpoch, sequence, token);
    contact.recordHeartbeat(heartbeat, Duration.ofSeconds(second));
    return contact.recordReply(heartbeat, 50 + second, Duration.ofSeconds(second));
  }

  /**
   * Guards against a machine that sends heartbeats without receiving replies and is given new tasks
   * whenever its lease has expired.
   */
  @Test
  void ignoredRepliesAreCountedUntilAReplyIsAcknowledged() {
    exchange(1, 1, 0, 1);
    assertEquals(0, contact.ignoredReplies(), "there was no earlier reply");
    exchange(1, 2, 51, 3);
    assertEquals(0, contact.ignoredReplies(), "the heartbeat acknowledges the first reply");
    exchange(1, 3, 51, 6);
    exchange(1, 4, 51, 9);
    assertEquals(2, contact.ignoredReplies());
    assertEquals(
        Optional.of(Duration.ofSeconds(4)), contact.notReceivingFor(Duration.ofSeconds(10)));
    exchange(2, 5, 51, 20);
    assertEquals(
        3, contact.ignoredReplies(), "a new agent epoch does not prove that replies are received");
    contact.recordHeartbeat(heartbeat(2, 6, 70), Duration.ofSeconds(21));
    assertEquals(0, contact.ignoredReplies(), "acknowledging the last reply's token does");
  }

  @Test
  void aLateCopyIsNotAnsweredAgainAndRenewsNoLease() {
    assertTrue(exchange(1, 1, 0, 1));
    assertTrue(exchange(1, 2, 51, 3));
    Duration before = contact.lastHeartbeatAt();
    assertFalse(exchange(1, 1, 0, 30), "a copy of the first");
    assertFalse(exchange(1, 2, 51, 40), "a copy of the newest");
    assertEquals(before, contact.lastHeartbeatAt());
    assertEquals(Optional.of(Duration.ofSeconds(3)), contact.lastReplyAt());
    assertEquals(0, contact.ignoredReplies(), "a late copy does not count as an ignored reply");
  }

  /**
   * The worker still waits for the reply to a heartbeat that was overtaken by its answer to a
   * direct call.
   */
  @Test
  void aHeartbeatOvertakenByADirectAnswerStillCountsAsAnswered() {
    contact.recordHeartbeat(heartbeat(1, 8, 60), Duration.ofSeconds(5));
    assertTrue(exchange(1, 7, 50, 6));
    assertEquals(Optional.of(Duration.ofSeconds(6)), contact.lastReplyAt());
  }
}
