package io.cherryspool.controller.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.timing.Timings;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.Job;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.JobRecordFixture;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which observations prove that a task's attempt has ended. */
class TerminationEvidenceTest {
  private static final TaskId TASK = new TaskId("req-000001", 0);
  private static final Duration START = Duration.ofSeconds(100);
  private static final Duration LEASE = Duration.ofSeconds(16);
  private static final Duration AUTHORITY = Duration.ofSeconds(12);

  private final Timings timings =
      new Timings(
          Duration.ofSeconds(2),
          AUTHORITY,
          LEASE,
          Duration.ofSeconds(4),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2),
          Duration.ofSeconds(5));
  private final FencingTokenSource tokens = new FencingTokenSource(5);
  private final StopRequests stopRequests = new StopRequests();
  private final TerminationEvidence evidence =
      new TerminationEvidence(timings, tokens, stopRequests, START);
  private final MachineState machine = new MachineState("host-1", "box", "a", false, START);
  private final Job job = JobFixture.job("req-000001", Priority.NORMAL, 1, 1);
  private final Ownership.OwnedTask owned =
      new Ownership.OwnedTask(
          JobRecordFixture.acceptedRecord(job),
          TASK,
          new Attempt(0, "host-1", 3, 1, tokens.termBase() - 7));
  private long sequence;

  private void receive(
      long agentEpoch,
      long token,
      WorkerHeartbeat.TaskState state,
      WorkerHeartbeat.ExitCause cause) {
    receiveAt(1, agentEpoch, token, state, cause);
  }

  private void receiveAt(
      double seconds,
      long agentEpoch,
      long token,
      WorkerHeartbeat.TaskState state,
      WorkerHeartbeat.ExitCause cause) {
    List<WorkerHeartbeat.TaskStatus> tasks =
        state == null ? List.of() : List.of(new WorkerHeartbeat.TaskStatus(TASK, 1, state, cause));
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(
            "host-1", "127.0.0.1:1", "box", "a", false, agentEpoch, ++sequence, token, null, tasks);
    assertTrue(machine.contact().recordHeartbeat(heartbeat, inTerm(seconds)));
  }

  private void sendHeartbeatToEarlierLeader() {
    sequence++;
  }

  private void receiveRunningAt(double seconds, long token) {
    receiveAt(seconds, 3, token, WorkerHeartbeat.TaskState.RUNNING, null);
  }

  private TerminationEvidence.Assessment assessAt(double seconds) {
    return evidence.assess(owned, machine, inTerm(seconds));
  }

  private void assertLostAfter(double seconds) {
    assertEquals(TerminationEvidence.Assessment.OWNED, assessAt(seconds - 0.1));
    assertEquals(TerminationEvidence.Assessment.LOST, assessAt(seconds + 0.1));
  }

  /** Returns the time at which the term has lasted for this long. */
  private static Duration inTerm(double seconds) {
    return START.plusMillis((long) (seconds * 1000));
  }

  @Test
  void anUnreportedAttemptIsNotEndedWhileAStartMayStillBeExecuted() {
    stopRequests.add(TASK, 1, Duration.ZERO);
    receive(3, tokens.termBase() - 1, null, null);
    assertEquals(
        TerminationEvidence.Assessment.NEEDS_FENCING,
        assessAt(2),
        "an earlier leader's start is not fenced yet");
    receive(3, tokens.current(), null, null);
    assertEquals(TerminationEvidence.Assessment.ENDED, assessAt(2));
    machine
        .commandDelivery()
        .recordDelivered(List.of(WorkerCommand.start(TASK, 1)), tokens.current(), START);
    assertEquals(
        TerminationEvidence.Assessment.NEEDS_FENCING,
        assessAt(2),
        "this leader's own start may be in flight");
    tokens.advance();
    receive(3, tokens.current(), null, null);
    assertEquals(TerminationEvidence.Assessment.ENDED, assessAt(2));
  }

  @Test
  void anUnreportedAttemptWithoutStopRequestIsStillOwned() {
    receive(3, tokens.current(), null, null);
    assertEquals(TerminationEvidence.Assessment.OWNED, assessAt(2));
  }

  /** A start command that is still in flight could run the attempt again. */
  @Test
  void anExitedAttemptIsNotReleasedUntilAnUnansweredCallIsFenced() {
    machine.commandDelivery().recordCallStarted(List.of(), tokens.current());
    machine.commandDelivery().recordCallFailed(START);
    receive(3, tokens.current(), WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.ERROR);
    assertEquals(TerminationEvidence.Assessment.NEEDS_FENCING, assessAt(2));
    tokens.advance();
    receive(3, tokens.current(), WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.ERROR);
    assertEquals(TerminationEvidence.Assessment.FAILED, assessAt(2));
  }

  @Test
  void aLaterAgentEpochOrADeletionProvesTheLossAndAnOlderHeartbeatIsIgnored() {
    receive(4, tokens.termBase() - 1, null, null);
    assertEquals(TerminationEvidence.Assessment.LOST, assessAt(2));
    WorkerHeartbeat old =
        new WorkerHeartbeat("host-1", "127.0.0.1:1", "box", "a", false, 3, 99, 0, null, List.of());
    assertEquals(false, machine.contact().recordHeartbeat(old, START));
    MachineState deleted = new MachineState("host-1", "box", "a", false, START);
    deleted.markDeleted();
    assertEquals(TerminationEvidence.Assessment.LOST, evidence.assess(owned, deleted, START));
  }

  @Test
  void aSilentMachineIsLostOnlyAfterEveryLeadersLastPossibleLeaseHasExpired() {
    double earlierLeaseExpiry = AUTHORITY.toSeconds() + LEASE.toSeconds();
    assertEquals(
        TerminationEvidence.Assessment.OWNED,
        assessAt(earlierLeaseExpiry - 0.1),
        "a partitioned earlier leader may still renew its lease");
    assertEquals(TerminationEvidence.Assessment.LOST, assessAt(earlierLeaseExpiry + 0.1));
    assertEquals(
        TerminationEvidence.Assessment.OWNED,
        evidence.assess(owned, null, START.plusMillis((long) (earlierLeaseExpiry * 1000) - 100)),
        "the same limit holds for a machine that this leader has never seen");
    receive(3, tokens.current(), WorkerHeartbeat.TaskState.RUNNING, null);
    machine
        .contact()
        .recordReply(machine.latestHeartbeat(), tokens.current(), START.plusSeconds(4));
    assertEquals(TerminationEvidence.Assessment.OWNED, assessAt(4 + LEASE.toSeconds() - 0.1));
    assertEquals(TerminationEvidence.Assessment.LOST, assessAt(4 + LEASE.toSeconds() + 0.1));
  }

  /**
   * Guards against a release while a lease runs that an earlier leader renewed in this term. The
   * machine answered a call at the start of the term, and accepted a token of the term much later.
   */
  @Test
  void anEarlierLeaderMayRenewTheLeaseUntilTheMachineShowsATokenOfTheTerm() {
    receiveRunningAt(0.1, tokens.termBase() - 7);
    sendHeartbeatToEarlierLeader();
    receiveRunningAt(10, tokens.current());
    assertLostAfter(10 + LEASE.toSeconds());
    receiveRunningAt(11, tokens.current());
    assertLostAfter(10 + LEASE.toSeconds());
  }

  /**
   * The earlier leader can only have answered heartbeats that were sent before the first message.
   */
  @Test
  void anEarlierLeaderHasNotRenewedTheLeaseBetweenTwoConsecutiveMessages() {
    receiveRunningAt(0.1, tokens.termBase() - 7);
    receiveRunningAt(4, tokens.current());
    assertLostAfter(0.1 + LEASE.toSeconds());
  }

  @Test
  void anAcknowledgementAfterTheEarlierLeadersAuthorityDelaysNothing() {
    receiveRunningAt(0.1, tokens.termBase() - 7);
    sendHeartbeatToEarlierLeader();
    receiveRunningAt(AUTHORITY.toSeconds() + 6, tokens.current());
    assertLostAfter(AUTHORITY.toSeconds() + LEASE.toSeconds());
  }

  @Test
  void anEarlyAcknowledgementEndsTheWaitForTheEarlierLeader() {
    receiveRunningAt(0.2, tokens.current());
    assertLostAfter(0.2 + LEASE.toSeconds());
  }

  /** The worker may not have received the reply, and may have gone back to the earlier leader. */
  @Test
  void aReplyWithoutAnAcknowledgementProvesNothingAboutTheEarlierLeader() {
    receiveRunningAt(1, tokens.termBase() - 7);
    machine.contact().recordReply(machine.latestHeartbeat(), tokens.current(), inTerm(1));
    assertLostAfter(AUTHORITY.toSeconds() + LEASE.toSeconds());
    sendHeartbeatToEarlierLeader();
    receiveRunningAt(8, tokens.current());
    assertLostAfter(8 + LEASE.toSeconds());
  }

  /** The token stays the highest that the worker has seen when its session changes. */
  @Test
  void anAcknowledgementInAnEarlierAgentEpochStillCounts() {
    receiveAt(5, 2, tokens.current(), null, null);
    receiveAt(7, 3, tokens.current(), WorkerHeartbeat.TaskState.RUNNING, null);
    assertLostAfter(7 + LEASE.toSeconds());
  }

  /**
   * Guards against declaring tasks lost as soon as they are placed. A machine whose heartbeats were
   * lost, but which answered direct calls, began a new agent epoch and was given tasks; its lease
   * was then computed from the last reply in the previous epoch.
   */
  @Test
  void anAgentEpochHasALeaseFromItsStartWithoutAnyReply() {
    receive(2, tokens.current(), null, null);
    machine
        .contact()
        .recordReply(machine.latestHeartbeat(), tokens.current(), START.plusSeconds(4));
    WorkerHeartbeat next =
        new WorkerHeartbeat(
            "host-1",
            "127.0.0.1:1",
            "box",
            "a",
            false,
            3,
            ++sequence,
            tokens.current(),
            null,
            List.of(
                new WorkerHeartbeat.TaskStatus(TASK, 1, WorkerHeartbeat.TaskState.RUNNING, null)));
    assertTrue(machine.contact().recordHeartbeat(next, START.plusSeconds(30)));
    assertEquals(TerminationEvidence.Assessment.OWNED, assessAt(31));
    assertEquals(TerminationEvidence.Assessment.OWNED, assessAt(30 + LEASE.toSeconds() - 0.1));
    assertEquals(TerminationEvidence.Assessment.LOST, assessAt(30 + LEASE.toSeconds() + 0.1));
  }
}
