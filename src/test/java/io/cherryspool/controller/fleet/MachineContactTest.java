package io.cherryspool.controller.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What a machine's reports show of the answers to them, and what a late copy shows: nothing. */
class MachineContactTest {
  private final MachineContact contact = new MachineContact();

  private static WorkerHeartbeat report(long session, long sequence, long token) {
    return new WorkerHeartbeat(
        "host-1", "127.0.0.1:1", "box", "a", false, session, sequence, token, null, List.of());
  }

  private boolean reports(long session, long sequence, long token, int at) {
    WorkerHeartbeat report = report(session, sequence, token);
    contact.accept(report, Duration.ofSeconds(at));
    return contact.recordReply(report, 50 + at, Duration.ofSeconds(at));
  }

  /** It kept reporting and was given work lease after lease. */
  @Test
  void answersThatDoNotShowInTheNextReportCountUntilOneDoes() {
    reports(1, 1, 0, 1);
    assertEquals(0, contact.ignoredReplies(), "nothing was told to it before");
    reports(1, 2, 51, 3);
    assertEquals(0, contact.ignoredReplies(), "merely between reports");
    reports(1, 3, 51, 6);
    reports(1, 4, 51, 9);
    assertEquals(2, contact.ignoredReplies());
    assertEquals(
        Optional.of(Duration.ofSeconds(4)), contact.notReceivingFor(Duration.ofSeconds(10)));
    reports(2, 5, 51, 20);
    assertEquals(3, contact.ignoredReplies(), "a new session is no sign that it hears");
    contact.accept(report(2, 6, 70), Duration.ofSeconds(21));
    assertEquals(0, contact.ignoredReplies(), "an acknowledged token newer than the sending is");
  }

  @Test
  void aLateCopyIsNotAnsweredAgainAndRenewsNothing() {
    assertTrue(reports(1, 1, 0, 1));
    assertTrue(reports(1, 2, 51, 3));
    Duration heard = contact.lastHeartbeatAt();
    assertFalse(reports(1, 1, 0, 30), "a copy of the first");
    assertFalse(reports(1, 2, 51, 40), "a copy of the newest");
    assertEquals(heard, contact.lastHeartbeatAt());
    assertEquals(Optional.of(Duration.ofSeconds(3)), contact.lastReplyAt());
    assertEquals(0, contact.ignoredReplies(), "nor does it make the machine deaf");
  }

  /** The worker waits for the answer to a report that a direct call's answer has overtaken. */
  @Test
  void aReportOvertakenByADirectAnswerStillCountsAsAnswered() {
    contact.accept(report(1, 8, 60), Duration.ofSeconds(5));
    assertTrue(reports(1, 7, 50, 6));
    assertEquals(Optional.of(Duration.ofSeconds(6)), contact.lastReplyAt());
  }
}
