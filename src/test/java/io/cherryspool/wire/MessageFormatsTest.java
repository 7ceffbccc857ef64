package io.cherryspool.wire;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static io.cherryspool.compatibility.RecordedBytes.readJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.compatibility.SampleRecords;
import io.cherryspool.model.Instance;
import io.cherryspool.model.Job;
import io.cherryspool.model.TaskId;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.model.WorkerHeartbeat;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Checks that this version encodes messages to users, workers, the cloud and the state store
 * exactly as version 0.1.0 did, and decodes their messages to the same values.
 */
class MessageFormatsTest {
  private static final TaskId TASK = new TaskId("req-000412", 3);
  private static final List<WorkerCommand> COMMANDS =
      List.of(
          WorkerCommand.start(TASK, 1),
          WorkerCommand.stop(new TaskId("req-000412", 4), 2, Duration.ofMillis(2500)),
          WorkerCommand.stop(new TaskId("req-000412", 5), 1, Duration.ZERO),
          WorkerCommand.acknowledge(new TaskId("req-000007", 0), 7));

  @Test
  void encodesResponsesAndCommandsToWorkersAsRecorded() {
    assertRecorded("worker-reply.json", WorkerProtocol.encodeHeartbeatReply(1L << 33, COMMANDS));
    assertRecorded("worker-reply-empty.json", WorkerProtocol.encodeHeartbeatReply(5, List.of()));
    assertRecorded("worker-commands.json", WorkerProtocol.encodeCommands(1L << 33, 2, COMMANDS));
    assertRecorded("worker-redirect.json", WorkerProtocol.encodeRedirect("node-1"));
    assertRecorded("worker-redirect-nowhere.json", WorkerProtocol.encodeRedirect(null));
  }

  /** The recorded heartbeat has a task for each status and each exit cause of the protocol. */
  @Test
  void decodesRecordedHeartbeats() throws MalformedMessageException {
    WorkerHeartbeat heartbeat = WorkerProtocol.parseHeartbeat(readJson("worker-report.json"));
    assertEquals("host-000003", heartbeat.machine());
    assertEquals("10.1.0.3:9000", heartbeat.address());
    assertEquals("box", heartbeat.type());
    assertEquals("zone-a", heartbeat.zone());
    assertTrue(heartbeat.isSpot());
    assertEquals(2, heartbeat.agentEpoch());
    assertEquals(17, heartbeat.sequence());
    assertEquals(1L << 33, heartbeat.highestFencingToken());
    assertEquals(Duration.ofMillis(45_500), heartbeat.preemptionNotice());
    List<WorkerHeartbeat.TaskStatus> expected =
        List.of(
            task(0, WorkerHeartbeat.TaskState.FETCHING, null),
            task(1, WorkerHeartbeat.TaskState.RUNNING, null),
            task(2, WorkerHeartbeat.TaskState.CHECKPOINTING, null),
            task(3, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.DONE),
            task(4, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.STOPPED),
            task(5, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.ERROR),
            task(
                6,
                WorkerHeartbeat.TaskState.EXITED,
                WorkerHeartbeat.ExitCause.INSUFFICIENT_RESOURCES),
            task(
                7,
                WorkerHeartbeat.TaskState.EXITED,
                WorkerHeartbeat.ExitCause.OTHER_ATTEMPT_PRESENT),
            task(8, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.UNKNOWN_JOB),
            task(9, WorkerHeartbeat.TaskState.EXITED, WorkerHeartbeat.ExitCause.ERROR));
    assertEquals(expected, heartbeat.tasks());
  }

  private static WorkerHeartbeat.TaskStatus task(
      int number, WorkerHeartbeat.TaskState state, WorkerHeartbeat.ExitCause cause) {
    return new WorkerHeartbeat.TaskStatus(
        new TaskId("req-000412", number), number + 1, state, cause);
  }

  @Test
  void encodesRequestsToTheCloudAsRecorded() {
    assertRecorded("cloud-catalog.http", CloudProtocol.catalogRequest());
    assertRecorded(
        "cloud-rent.http", CloudProtocol.instanceRequest("node-1-7", "box", "zone-a", true, 4));
    assertRecorded(
        "cloud-delete.http", CloudProtocol.deleteRequest(List.of("host-000003", "host-000120")));
    assertRecorded("cloud-list.http", CloudProtocol.listRequest(null, 500));
    assertRecorded("cloud-list-next.http", CloudProtocol.listRequest("host 3&4", 500));
  }

  @Test
  void decodesRecordedResponsesOfTheCloud() throws MalformedMessageException {
    CloudProtocol.InstancePage page = CloudProtocol.parsePage(readJson("cloud-machines.json"));
    assertTrue(page.hasMore());
    assertEquals(
        List.of(
            machine("host-000003", "10.1.0.3:9000", true, Instance.Status.RUNNING, 61_500),
            machine("host-000004", null, false, Instance.Status.BOOTING, 0),
            machine("host-000005", null, false, Instance.Status.FAILED, 1000)),
        page.instances());
    assertEquals(
        List.of("host-000003", "host-000004"),
        CloudProtocol.parseInstanceNames(readJson("cloud-rented.json")));
  }

  private static Instance machine(
      String name, String address, boolean isSpot, Instance.Status status, long ageMillis) {
    return new Instance(
        name, address, "box", "zone-a", isSpot, status, Duration.ofMillis(ageMillis));
  }

  @Test
  void encodesRequestsToTheStateStoreAsRecorded() {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put("c/term", 40L);
    conditions.put("c/jobs/req-000412", 0L);
    List<StateStoreProtocol.Change> changes =
        List.of(
            new StateStoreProtocol.Change("c/a", Json.object().put("term", 41), 0),
            new StateStoreProtocol.Change("c/b", Json.object(), 1L << 40),
            new StateStoreProtocol.Change("c/gone", null, 0));
    assertRecorded("state-commit.http", StateStoreProtocol.transactionRequest(conditions, changes));
    assertRecorded("state-list.http", StateStoreProtocol.listRequest("c/", null, 1000));
    assertRecorded(
        "state-list-next.http", StateStoreProtocol.listRequest("c/", "c/jobs/req 1&2", 1000));
    assertRecorded(
        "state-follow.http", StateStoreProtocol.watchRequest("c/", 123, Duration.ofSeconds(10)));
    assertRecorded(
        "state-lease.http", StateStoreProtocol.grantLeaseRequest(Duration.ofMillis(4500)));
    assertRecorded("state-extend.http", StateStoreProtocol.renewLeaseRequest(12));
    assertRecorded("state-end.http", StateStoreProtocol.revokeLeaseRequest(12));
  }

  @Test
  void decodesRecordedResponsesOfTheStateStore() throws MalformedMessageException {
    assertEquals(1L << 40, StateStoreProtocol.parseRevision(readJson("state-conflict.json")));
    assertEquals(
        Set.of("c/term", "c/leader"),
        StateStoreProtocol.parseFailedKeys(readJson("state-conflict.json")));
    assertEquals(12, StateStoreProtocol.parseLeaseId(readJson("state-leased.json")));
    StateStoreProtocol.KeyPage page = StateStoreProtocol.parsePage(readJson("state-page.json"));
    assertEquals(
        List.of(new StateStoreProtocol.Event("c/term", Json.object().put("term", 41), 7)),
        page.entries());
    assertTrue(page.hasMore());
    assertEquals(9, page.revision());
    StateStoreProtocol.WatchResult changes =
        StateStoreProtocol.parseChanges(readJson("state-changes.json"));
    assertEquals(
        List.of(
            new StateStoreProtocol.Event("c/term", Json.object().put("term", 41), 7),
            new StateStoreProtocol.Event("c/leader", null, 8)),
        changes.events());
    assertEquals(9, changes.revision());
  }

  @Test
  void encodesAndDecodesMessagesOfUsersAsRecorded() throws MalformedMessageException {
    assertRecorded("user-job.json", UserProtocol.encodeJob(SampleRecords.CONSTRAINED_JOB));
    Job read = UserProtocol.parseJob(readJson("user-job.json"), SampleRecords.SUBMITTED);
    assertEquals(SampleRecords.CONSTRAINED_JOB, read);
    assertStatusRecorded("user-status-pending.json", UserProtocol.JobStatus.PENDING);
    assertStatusRecorded("user-status-running.json", UserProtocol.JobStatus.RUNNING);
    assertStatusRecorded("user-status-done.json", UserProtocol.JobStatus.DONE);
    assertStatusRecorded("user-status-cancelled.json", UserProtocol.JobStatus.CANCELLED);
    assertRecorded(
        "user-poll.json",
        UserProtocol.encodeStatus("req-000412", UserProtocol.JobStatus.RUNNING, 11, 2, 0));
    assertRecorded(
        "user-poll-failing.json",
        UserProtocol.encodeStatus("req-000412", UserProtocol.JobStatus.RUNNING, 11, 2, 1));
    assertRecorded(
        "user-error.json", UserProtocol.encodeError("ref is not of the form req-000412"));
    assertFalse(UserProtocol.isJobId("req-12"));
  }

  private static void assertStatusRecorded(String name, UserProtocol.JobStatus status) {
    assertRecorded(name, UserProtocol.encodeStatus("req-000412", status));
  }
}
