package io.cherryspool.wire;

import static io.cherryspool.compatibility.RecordedBytes.assertRecorded;
import static io.cherryspool.compatibility.RecordedBytes.readJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.compatibility.SampleRecords;
import io.cherryspool.model.Job;
import io.cherryspool.model.Order;
import io.cherryspool.model.RentedMachine;
import io.cherryspool.model.Report;
import io.cherryspool.model.TaskId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * That what this version sends to users, workers, the cloud and the state service is what version
 * 0.1.0 sent, and that it reads their messages as that version did.
 */
class MessageFormatsTest {
  private static final TaskId TASK = new TaskId("req-000412", 3);
  private static final List<Order> ORDERS =
      List.of(
          Order.start(TASK, 1),
          Order.stop(new TaskId("req-000412", 4), 2, Duration.ofMillis(2500)),
          Order.stop(new TaskId("req-000412", 5), 1, Duration.ZERO),
          Order.forget(new TaskId("req-000007", 0), 7));

  @Test
  void answersAndCommandsToWorkers() {
    assertRecorded("worker-reply.json", WorkerWire.reply(1L << 33, ORDERS));
    assertRecorded("worker-reply-empty.json", WorkerWire.reply(5, List.of()));
    assertRecorded("worker-commands.json", WorkerWire.commands(1L << 33, 2, ORDERS));
    assertRecorded("worker-redirect.json", WorkerWire.redirect("node-1"));
    assertRecorded("worker-redirect-nowhere.json", WorkerWire.redirect(null));
  }

  /** The recorded one has a task in each status and with each cause that the protocol names. */
  @Test
  void heartbeatsOfWorkers() throws WireException {
    Report report = WorkerWire.parseReport(readJson("worker-report.json"));
    assertEquals("host-000003", report.machine());
    assertEquals("10.1.0.3:9000", report.address());
    assertEquals("box", report.type());
    assertEquals("zone-a", report.zone());
    assertTrue(report.spot());
    assertEquals(2, report.session());
    assertEquals(17, report.sequence());
    assertEquals(1L << 33, report.token());
    assertEquals(Duration.ofMillis(45_500), report.notice());
    List<Report.TaskReport> expected =
        List.of(
            task(0, Report.State.FETCHING, null),
            task(1, Report.State.RUNNING, null),
            task(2, Report.State.SAVING, null),
            task(3, Report.State.EXITED, Report.Cause.DONE),
            task(4, Report.State.EXITED, Report.Cause.STOPPED),
            task(5, Report.State.EXITED, Report.Cause.ERROR),
            task(6, Report.State.EXITED, Report.Cause.NO_ROOM),
            task(7, Report.State.EXITED, Report.Cause.BUSY),
            task(8, Report.State.EXITED, Report.Cause.UNKNOWN_JOB),
            task(9, Report.State.EXITED, Report.Cause.ERROR));
    assertEquals(expected, report.tasks());
  }

  private static Report.TaskReport task(int number, Report.State state, Report.Cause cause) {
    return new Report.TaskReport(new TaskId("req-000412", number), number + 1, state, cause);
  }

  @Test
  void requestsToTheCloud() {
    assertRecorded("cloud-catalog.http", CloudWire.catalog());
    assertRecorded("cloud-rent.http", CloudWire.rent("node-1-7", "box", "zone-a", true, 4));
    assertRecorded("cloud-delete.http", CloudWire.delete(List.of("host-000003", "host-000120")));
    assertRecorded("cloud-list.http", CloudWire.list(null, 500));
    assertRecorded("cloud-list-next.http", CloudWire.list("host 3&4", 500));
  }

  @Test
  void answersOfTheCloud() throws WireException {
    CloudWire.Page page = CloudWire.parsePage(readJson("cloud-machines.json"));
    assertTrue(page.more());
    assertEquals(
        List.of(
            machine("host-000003", "10.1.0.3:9000", true, RentedMachine.Status.RUNNING, 61_500),
            machine("host-000004", null, false, RentedMachine.Status.BOOTING, 0),
            machine("host-000005", null, false, RentedMachine.Status.FAILED, 1000)),
        page.machines());
    assertEquals(
        List.of("host-000003", "host-000004"),
        CloudWire.parseRented(readJson("cloud-rented.json")));
  }

  private static RentedMachine machine(
      String name, String address, boolean spot, RentedMachine.Status status, long ageMillis) {
    return new RentedMachine(
        name, address, "box", "zone-a", spot, status, Duration.ofMillis(ageMillis));
  }

  @Test
  void requestsToTheStateService() {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put("c/term", 40L);
    conditions.put("c/jobs/req-000412", 0L);
    List<StateWire.Change> changes =
        List.of(
            new StateWire.Change("c/a", Json.object().put("term", 41), 0),
            new StateWire.Change("c/b", Json.object(), 1L << 40),
            new StateWire.Change("c/gone", null, 0));
    assertRecorded("state-commit.http", StateWire.commit(conditions, changes));
    assertRecorded("state-list.http", StateWire.list("c/", null, 1000));
    assertRecorded("state-list-next.http", StateWire.list("c/", "c/jobs/req 1&2", 1000));
    assertRecorded("state-follow.http", StateWire.follow("c/", 123, Duration.ofSeconds(10)));
    assertRecorded("state-lease.http", StateWire.lease(Duration.ofMillis(4500)));
    assertRecorded("state-extend.http", StateWire.extend(12));
    assertRecorded("state-end.http", StateWire.end(12));
  }

  @Test
  void answersOfTheStateService() throws WireException {
    assertEquals(1L << 40, StateWire.revision(readJson("state-conflict.json")));
    assertEquals(Set.of("c/term", "c/leader"), StateWire.failed(readJson("state-conflict.json")));
    assertEquals(12, StateWire.parseLease(readJson("state-leased.json")));
    StateWire.Page page = StateWire.parsePage(readJson("state-page.json"));
    assertEquals(
        List.of(new StateWire.Event("c/term", Json.object().put("term", 41), 7)), page.items());
    assertTrue(page.more());
    assertEquals(9, page.revision());
    StateWire.Changes changes = StateWire.parseChanges(readJson("state-changes.json"));
    assertEquals(
        List.of(
            new StateWire.Event("c/term", Json.object().put("term", 41), 7),
            new StateWire.Event("c/leader", null, 8)),
        changes.events());
    assertEquals(9, changes.revision());
  }

  @Test
  void submissionsOfUsersAndAnswersToThem() throws WireException {
    assertRecorded("user-job.json", JobWire.encode(SampleRecords.CONSTRAINED_JOB));
    Job read = JobWire.parse(readJson("user-job.json"), SampleRecords.SUBMITTED);
    assertEquals(SampleRecords.CONSTRAINED_JOB, read);
    checkStatus("user-status-pending.json", JobWire.Status.PENDING);
    checkStatus("user-status-running.json", JobWire.Status.RUNNING);
    checkStatus("user-status-done.json", JobWire.Status.DONE);
    checkStatus("user-status-cancelled.json", JobWire.Status.CANCELLED);
    assertRecorded(
        "user-poll.json", JobWire.status("req-000412", JobWire.Status.RUNNING, 11, 2, 0));
    assertRecorded(
        "user-poll-failing.json", JobWire.status("req-000412", JobWire.Status.RUNNING, 11, 2, 1));
    assertRecorded("user-error.json", JobWire.error("ref is not of the form req-000412"));
    assertFalse(JobWire.isId("req-12"));
  }

  private static void checkStatus(String name, JobWire.Status status) {
    assertRecorded(name, JobWire.status("req-000412", status));
  }
}
