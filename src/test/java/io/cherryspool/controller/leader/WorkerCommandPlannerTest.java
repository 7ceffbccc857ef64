package io.cherryspool.controller.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.FencingTokenSource;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.ownership.StopRequests;
import io.cherryspool.controller.release.CrashLoopBackoff;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.rounds.TaskAdoption;
import io.cherryspool.controller.rounds.TaskTracking;
import io.cherryspool.model.Attempt;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.store.JobRecordFixture;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests which commands a worker is sent, depending on the tasks that it reports and those that its
 * machine owns by the records.
 */
class WorkerCommandPlannerTest {
  private static final TaskId TASK = new TaskId("req-000001", 0);
  private static final Duration START = Duration.ofSeconds(100);
  private static final long AGENT_EPOCH = 3;

  private final FencingTokenSource tokens = new FencingTokenSource(5);
  private final StopRequests stopRequests = new StopRequests();
  private final WorkerCommandPlanner planner =
      new WorkerCommandPlanner(
          tokens,
          new TaskTracking(
              new Ownership(null),
              new PendingReleases(),
              stopRequests,
              new CrashLoopBackoff(),
              TaskAdoption.NONE));
  private final MachineState machine = new MachineState("host-1", "box", "a", false, START);
  private final Ownership.OwnedTask owned =
      new Ownership.OwnedTask(
          JobRecordFixture.acceptedRecord(JobFixture.job("req-000001", Priority.NORMAL, 1, 1)),
          TASK,
          new Attempt(0, "host-1", AGENT_EPOCH, 1, tokens.termBase() - 7));
  private long sequence;

  private void receive(WorkerHeartbeat.TaskStatus... tasks) {
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(
            "host-1",
            "127.0.0.1:1",
            "box",
            "a",
            false,
            AGENT_EPOCH,
            ++sequence,
            tokens.current(),
            null,
            List.of(tasks));
    assertTrue(machine.contact().recordHeartbeat(heartbeat, START.plusSeconds(1)));
  }

  private static WorkerHeartbeat.TaskStatus running() {
    return new WorkerHeartbeat.TaskStatus(TASK, 1, WorkerHeartbeat.TaskState.RUNNING, null);
  }

  private static WorkerHeartbeat.TaskStatus failed() {
    return new WorkerHeartbeat.TaskStatus(
        TASK, 1, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.ERROR);
  }

  @Test
  void anOwnedTaskThatIsNotReportedIsStarted() {
    receive();
    assertEquals(
        List.of(WorkerCommand.start(TASK, 1)), planner.commandsFor(machine, List.of(owned)));
  }

  @Test
  void aRunningOwnedTaskIsStoppedOnlyOnRequest() {
    receive(running());
    assertEquals(List.of(), planner.commandsFor(machine, List.of(owned)));
    stopRequests.add(TASK, 1, Duration.ofSeconds(7));
    assertEquals(
        List.of(WorkerCommand.stop(TASK, 1, Duration.ofSeconds(7))),
        planner.commandsFor(machine, List.of(owned)));
  }

  /**
   * An acknowledged attempt is dropped by the worker, so a start command still in flight would run
   * it again.
   */
  @Test
  void anExitedAttemptIsNotAcknowledgedUntilAnUnansweredCallIsFenced() {
    machine.commandDelivery().recordCallStarted(List.of(), tokens.current());
    machine.commandDelivery().recordCallFailed(START);
    receive(failed());
    assertEquals(List.of(), planner.commandsFor(machine, List.of()));
    tokens.advance();
    receive(failed());
    assertEquals(
        List.of(WorkerCommand.acknowledge(TASK, 1)), planner.commandsFor(machine, List.of()));
  }

  @Test
  void aRunningTaskThatNoMachineOwnsIsStopped() {
    receive(running());
    assertEquals(
        List.of(WorkerCommand.stop(TASK, 1, Duration.ZERO)),
        planner.commandsFor(machine, List.of()));
  }

  /** The start may have arrived since the heartbeat was sent, and the reply renews the lease. */
  @Test
  void aReplyStopsAnAttemptThatMustStopEvenIfItIsNotReported() {
    stopRequests.add(TASK, 1, Duration.ZERO);
    receive();
    assertEquals(List.of(), planner.commandsFor(machine, List.of(owned)));
    List<WorkerCommand> stop = List.of(WorkerCommand.stop(TASK, 1, Duration.ZERO));
    assertEquals(stop, planner.replyCommandsFor(machine, List.of(owned)));
    receive(running());
    assertEquals(stop, planner.replyCommandsFor(machine, List.of(owned)), "once if it is reported");
    receive(failed());
    assertEquals(List.of(), planner.replyCommandsFor(machine, List.of(owned)));
  }
}
