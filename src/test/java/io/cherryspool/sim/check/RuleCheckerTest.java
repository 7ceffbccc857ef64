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

/** That each check of the simulation can fail: it receives what it must not let pass. */
class RuleCheckerTest {
  private final SimulatedCluster cluster = SimulatedCluster.of(1, 3);
  private final RuleChecker rules = cluster.rules();

  private Job accepted(int tasks) {
    Job job = cluster.jobs().create("blue", tasks, 4, Duration.ofSeconds(20));
    rules.jobSubmitted(job);
    rules.jobAccepted(job.id());
    return job;
  }

  private void breaks(String rule) {
    AssertionError error = assertThrows(AssertionError.class, () -> rules.check(cluster.workers()));
    assertTrue(error.getMessage().startsWith(rule + ":"), error.getMessage());
  }

  private void receive(Job job, String status) {
    rules.statusReceived(job.id(), status, cluster.time().now());
  }

  @Test
  void anEndThatIsTakenBackOrWasNeverReached() {
    receive(accepted(1), "done");
    breaks("not_done");
  }

  @Test
  void aDoneJobThatRunsAgain() {
    Job job = accepted(1);
    rules.taskCompleted(job.id() + "/0");
    receive(job, "done");
    receive(job, "running");
    breaks("went_back");
  }

  @Test
  void aCancelThatNobodyAskedFor() {
    receive(accepted(1), "withdrawn");
    breaks("went_back");
  }

  @Test
  void anAcceptedJobThatIsNotFound() {
    receive(accepted(1), "404");
    breaks("forgotten");
  }

  @Test
  void aQuestionThatWasAskedBeforeTheJobWasAcceptedMayFindNothing() {
    Duration asked = cluster.time().now();
    cluster.run(1);
    Job job = accepted(1);
    rules.statusReceived(job.id(), "404", asked);
    rules.check(cluster.workers());
  }

  /** Unanswered for 75 s after the faults, and not a second less. */
  @Test
  void aJobThatNobodyAnswersForAfterTheFaults() {
    accepted(1);
    cluster.run(200);
    rules.setFaultsEndedAt(cluster.time().now());
    cluster.run(75);
    rules.checkProgress(cluster.workers());
    rules.check(cluster.workers());
    cluster.run(0.1);
    rules.checkProgress(cluster.workers());
    breaks("forgotten");
  }

  /** Room for 90 s, on a machine that fits, for a job of a team below its limit. */
  @Test
  void aJobThatIsLeftWaitingAlthoughThereIsRoom() {
    cluster.run(25);
    Job keeps = cluster.jobs().create("red", 1, 4, Duration.ofSeconds(400));
    cluster.users().submit(keeps);
    Job left = accepted(1);
    rules.setFaultsEndedAt(cluster.time().now());
    for (int i = 0; i <= 90; i++) {
      receive(left, "pending");
      rules.checkProgress(cluster.workers());
      cluster.run(1);
    }
    rules.checkProgress(cluster.workers());
    assertEquals(1, cluster.workers().size(), "one machine, with room for three more");
    breaks("left_waiting");
  }

  @Test
  void anAcceptedJobWithoutAnEnd() {
    Job other = accepted(1);
    rules.taskCompleted(other.id() + "/0");
    rules.checkEndOfRun();
    breaks("nothing_ran");
  }

  /** More than half of a class's largest jobs began later than four minutes after they came. */
  @Test
  void theLargestOfAClassThatBeginTooLate() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 11; i++) {
      jobs.add(accepted(i < 2 ? 50 : 1));
    }
    cluster.run(30);
    FakeWorker machine = anyMachine();
    for (Job job : jobs.subList(2, 11)) {
      rules.taskStarted(machine, job.id() + "/0", List.of());
    }
    cluster.run(220);
    jobs.subList(0, 2).forEach(job -> rules.taskStarted(machine, job.id() + "/0", List.of()));
    for (Job job : jobs) {
      for (int i = 0; i < job.taskCount(); i++) {
        rules.taskCompleted(job.id() + "/" + i);
      }
      receive(job, "done");
    }
    rules.checkEndOfRun();
    breaks("largest_late");
  }

  @Test
  void startsAfterACancelAreCounted() {
    Job job = accepted(1);
    rules.cancelRequested(job.id());
    receive(job, "withdrawn");
    cluster.run(5);
    rules.taskStarted(anyMachine(), job.id() + "/0", List.of());
    assertEquals(1, rules.startCountAfterCancel());
  }

  private FakeWorker anyMachine() {
    return cluster.workers().iterator().next();
  }
}
