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

/** Which jobs, and which machines, are to blame for tasks that fail. */
class CrashLoopBackoffTest {
  private static final int CAP = 20;

  private final CrashLoopBackoff backoff = new CrashLoopBackoff();
  private final JobRecord entry =
      JobRecordFixture.running(JobFixture.job("req-000001", Priority.NORMAL, 9, 1), 6, "host-0");

  private static MachineState machine(int number) {
    return new MachineState("host-" + number, "box", "a", false, Duration.ZERO);
  }

  /** A task of the job fails on the machine; returns whether the machine is to blame. */
  private boolean recordFailure(boolean succeeded, int machine, double second) {
    return backoff.recordFailure(
        entry, succeeded, machine(machine), Duration.ofMillis((long) (second * 1000)));
  }

  private static JobRecord recorded(int... failures) {
    return JobRecordFixture.failed(JobFixture.job("req-000001", Priority.NORMAL, 99, 1), failures);
  }

  @Test
  void aJobThatFailsOnSeveralMachinesAndNeverSucceedsIsToBlameAndNotTheMachines() {
    assertTrue(recordFailure(false, 1, 0), "it may be the machine");
    assertFalse(
        recordFailure(false, 1, 0), "which is not three times as bad for three tasks of one job");
    assertFalse(recordFailure(false, 1, 0));
    assertTrue(recordFailure(false, 2, 0));
    assertFalse(backoff.isCrashLooping(entry));
    assertFalse(recordFailure(false, 3, 0));
    assertTrue(backoff.isCrashLooping(entry));
  }

  @Test
  void aJobThatHasSucceededBlamesTheMachineEachTime() {
    for (int i = 0; i < 5; i++) {
      assertTrue(recordFailure(true, 1, i));
    }
    assertFalse(backoff.isCrashLooping(entry));
  }

  @Test
  void triesGrowRarerAndASuccessEndsTheBackoff() {
    double at = 0;
    for (int i = 0; i < 3; i++) {
      recordFailure(false, i, at);
    }
    double pause = 0;
    for (int i = 0; i < 12; i++) {
      Duration now = Duration.ofMillis((long) (at * 1000));
      double next = backoff.nextRetryAt(entry, now).minus(now).toMillis() / 1000.0;
      assertTrue(next >= pause, next + " after " + pause);
      pause = next;
      at += pause;
      recordFailure(false, i, at);
      recordFailure(false, i + 1, at + 0.01);
      at += 0.01;
    }
    assertEquals(30, pause);
    backoff.reset("req-000001");
    assertFalse(backoff.isCrashLooping(entry));
  }

  /** A new leader has only the records, in which expired leases count as failures as well. */
  @Test
  void aNewLeaderTakesWhatFailedInAllItsTriesForACrashLoop() {
    assertTrue(backoff.isCrashLooping(recorded(1, 1, 1)));
    assertTrue(backoff.isCrashLooping(recorded(4, 0, 3)), "two of its tasks may be under way");
    assertFalse(backoff.isCrashLooping(recorded(1, 1)));
    assertFalse(backoff.isCrashLooping(recorded(3, 0, 0, 0, 0)), "some fail, most are not known");
  }

  @Test
  void theUserIsShownTheTasksThatFail() {
    assertEquals(0, recorded(1, 1, 1).failingTaskCount(CAP), "so far it may be chance");
    assertEquals(4, recorded(7, 5, 5, 5).failingTaskCount(CAP), "nothing of it succeeds");
    assertEquals(1, recorded(20, 0, 0, 0).failingTaskCount(CAP), "one task is past the cap");
  }
}
