package io.cherryspool.sim.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.Job;
import io.cherryspool.sim.cluster.SimulatedCluster;
import io.cherryspool.sim.fakes.FakeWorker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the rule checker reports violations, by passing it observations that break a rule.
 */
class RuleCheckerTest {
  private final SimulatedCluster cluster = SimulatedCluster.of(1, 3);
  private final RuleChecker rules = cluster.rules();

  private Job submitAcceptedJob(int tasks) {
    Job job = cluster.jobs().create("blue", tasks, 4, Duration.ofSeconds(20));
    rules.recordSubmission(job);
    rules.recordAcceptance(job.id());
    return job;
  }

  private void assertViolation(String rule) {
    AssertionError error = assertThrows(AssertionError.class, () -> rules.check(cluster.workers()));
    assertTrue(error.getMessage().startsWith(rule + ":"), error.getMessage());
  }

  private void receiveStatus(Job job, String status) {
    rules.recordStatus(job.id(), status, cluster.time().now());
  }

  @Test
  void doneStatusBeforeAllTasksCompletedViolatesNotDone() {
    receiveStatus(submitAcceptedJob(1), "done");
    assertViolation("not_done");
  }

  @Test
  void runningStatusAfterDoneViolatesWentBack() {
    Job job = submitAcceptedJob(1);
    rules.recordTaskCompletion(job.id() + "/0");
    receiveStatus(job, "done");
    receiveStatus(job, "running");
    assertViolation("went_back");
  }

  @Test
  void cancelledStatusWithoutCancelRequestViolatesWentBack() {
    receiveStatus(submitAcceptedJob(1), "withdrawn");
    assertViolation("went_back");
  }

  @Test
  void notFoundAfterAcceptanceViolatesForgotten() {
    receiveStatus(submitAcceptedJob(1), "404");
    assertViolation("forgotten");
  }

  @Test
  void notFoundIsAllowedForRequestSentBeforeAcceptance() {
    Duration askedAt = cluster.time().now();
    cluster.run(1);
    Job job = submitAcceptedJob(1);
    rules.recordStatus(job.id(), "404", askedAt);
    rules.check(cluster.workers());
  }

  /** 75 s without a reply are allowed; 0.1 s more is a violation. */
  @Test
  void noAnswerForMoreThan75SecondsAfterFaultsViolatesForgotten() {
    submitAcceptedJob(1);
    cluster.run(200);
    rules.setFaultsEndedAt(cluster.time().now());
    cluster.run(75);
    rules.checkProgress(cluster.workers());
    rules.check(cluster.workers());
    cluster.run(0.1);
    rules.checkProgress(cluster.workers());
    assertViolation("forgotten");
  }

  /**
   * A suitable machine has room for the job for more than 90 s, and its team is below its quota.
   */
  @Test
  void waitingMoreThan90SecondsWithRoomViolatesLeftWaiting() {
    cluster.run(25);
    Job running = cluster.jobs().create("red", 1, 4, Duration.ofSeconds(400));
    cluster.users().submit(running);
    Job waiting = submitAcceptedJob(1);
    rules.setFaultsEndedAt(cluster.time().now());
    for (int i = 0; i <= 90; i++) {
      receiveStatus(waiting, "pending");
      rules.checkProgress(cluster.workers());
      cluster.run(1);
    }
    rules.checkProgress(cluster.workers());
    assertEquals(
        1,
        cluster.workers().size(),
        "number of machines that are up; one machine has room for three more tasks");
    assertViolation("left_waiting");
  }

  @Test
  void acceptedJobWithoutAnyTaskStartViolatesNothingRan() {
    Job other = submitAcceptedJob(1);
    rules.recordTaskCompletion(other.id() + "/0");
    rules.checkEndOfRun();
    assertViolation("nothing_ran");
  }

  /**
   * More than half of the largest jobs of a class start later than 4 min after their submission.
   */
  @Test
  void largestJobsStartingAfterFourMinutesViolateLargestLate() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 11; i++) {
      jobs.add(submitAcceptedJob(i < 2 ? 50 : 1));
    }
    cluster.run(30);
    FakeWorker worker = anyWorker();
    for (Job job : jobs.subList(2, 11)) {
      rules.recordTaskStart(worker, job.id() + "/0", List.of());
    }
    cluster.run(220);
    jobs.subList(0, 2).forEach(job -> rules.recordTaskStart(worker, job.id() + "/0", List.of()));
    for (Job job : jobs) {
      for (int i = 0; i < job.taskCount(); i++) {
        rules.recordTaskCompletion(job.id() + "/" + i);
      }
      receiveStatus(job, "done");
    }
    rules.checkEndOfRun();
    assertViolation("largest_late");
  }

  @Test
  void countsTaskStartsAfterConfirmedCancel() {
    Job job = submitAcceptedJob(1);
    rules.recordCancelRequest(job.id());
    receiveStatus(job, "withdrawn");
    cluster.run(5);
    rules.recordTaskStart(anyWorker(), job.id() + "/0", List.of());
    assertEquals(1, rules.startCountAfterCancel());
  }

  private FakeWorker anyWorker() {
    return cluster.workers().iterator().next();
  }
}
