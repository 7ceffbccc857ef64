package io.cherryspool.controller.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.store.JobRecord;
import io.cherryspool.store.JobRecordFixture;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the attribution of task failures to jobs or machines, and the delays of retries. */
class CrashLoopBackoffTest {
  private static final int FAILURE_CAP = 20;

  private final CrashLoopBackoff backoff = new CrashLoopBackoff();
  private final JobRecord jobRecord =
      JobRecordFixture.runningRecord(
          JobFixture.job("req-000001", Priority.NORMAL, 9, 1), 6, "host-0");

  private static MachineState machine(int number) {
    return new MachineState("host-" + number, "box", "a", false, Duration.ZERO);
  }

  /**
   * Records a failure of a task on the machine; returns whether it is attributed to the machine.
   */
  private boolean recordFailure(boolean hasSucceeded, int machine, double second) {
    return backoff.recordFailure(
        jobRecord, hasSucceeded, machine(machine), Duration.ofMillis((long) (second * 1000)));
  }

  private static JobRecord jobWithFailures(int... failures) {
    return JobRecordFixture.recordWithFailures(
        JobFixture.job("req-000001", Priority.NORMAL, 99, 1), failures);
  }

  @Test
  void failuresOnSeveralMachinesWithoutSuccessAreAttributedToTheJob() {
    assertTrue(recordFailure(false, 1, 0), "the machine may be faulty");
    assertFalse(
        recordFailure(false, 1, 0),
        "a further failure of the same job does not count against the machine again");
    assertFalse(recordFailure(false, 1, 0));
    assertTrue(recordFailure(false, 2, 0));
    assertFalse(backoff.isCrashLooping(jobRecord));
    assertFalse(recordFailure(false, 3, 0));
    assertTrue(backoff.isCrashLooping(jobRecord));
  }

  @Test
  void eachFailureOfAJobThatHasSucceededIsAttributedToTheMachine() {
    for (int i = 0; i < 5; i++) {
      assertTrue(recordFailure(true, 1, i));
    }
    assertFalse(backoff.isCrashLooping(jobRecord));
  }

  @Test
  void retryDelaysGrowAndASuccessEndsTheBackoff() {
    double at = 0;
    for (int i = 0; i < 3; i++) {
      recordFailure(false, i, at);
    }
    double delay = 0;
    for (int i = 0; i < 12; i++) {
      Duration now = Duration.ofMillis((long) (at * 1000));
      double nextDelay = backoff.nextRetryAt(jobRecord, now).minus(now).toMillis() / 1000.0;
      assertTrue(nextDelay >= delay, nextDelay + " after " + delay);
      delay = nextDelay;
      at += delay;
      recordFailure(false, i, at);
      recordFailure(false, i + 1, at + 0.01);
      at += 0.01;
    }
    assertEquals(30, delay);
    backoff.reset("req-000001");
    assertFalse(backoff.isCrashLooping(jobRecord));
  }

  /** A new leader has only the records, in which expired leases count as failures as well. */
  @Test
  void aNewLeaderDetectsACrashLoopFromTheRecordedFailures() {
    assertTrue(backoff.isCrashLooping(jobWithFailures(1, 1, 1)));
    assertTrue(
        backoff.isCrashLooping(jobWithFailures(4, 0, 3)),
        "two of its tasks may be running as retries");
    assertFalse(backoff.isCrashLooping(jobWithFailures(1, 1)));
    assertFalse(
        backoff.isCrashLooping(jobWithFailures(3, 0, 0, 0, 0)),
        "one task fails, the other attempted tasks may still succeed");
  }

  @Test
  void failingTasksAreCountedOnceTheFailureCapIsReached() {
    assertEquals(
        0, jobWithFailures(1, 1, 1).failingTaskCount(FAILURE_CAP), "fewer failures than the cap");
    assertEquals(
        4, jobWithFailures(7, 5, 5, 5).failingTaskCount(FAILURE_CAP), "no task has succeeded");
    assertEquals(
        1,
        jobWithFailures(20, 0, 0, 0).failingTaskCount(FAILURE_CAP),
        "one task has reached the cap");
  }
}
