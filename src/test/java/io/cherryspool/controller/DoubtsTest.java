package io.cherryspool.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.model.JobFixture;
import io.cherryspool.model.Priority;
import io.cherryspool.store.JobEntry;
import io.cherryspool.store.JobEntryFixture;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Which jobs, and which machines, are to blame for tasks that fail. */
class DoubtsTest {
  private static final int CAP = 20;

  private final Doubts doubts = new Doubts();
  private final JobEntry entry =
      JobEntryFixture.running(JobFixture.job("req-000001", Priority.NORMAL, 9, 1), 6, "host-0");

  private static MachineState machine(int number) {
    return new MachineState("host-" + number, "box", "a", false, Duration.ZERO);
  }

  private boolean fails(boolean succeeded, int machine, double at) {
    return doubts.failed(entry, succeeded, machine(machine), Duration.ofMillis((long) (at * 1000)));
  }

  private static JobEntry recorded(int... failures) {
    return JobEntryFixture.failed(JobFixture.job("req-000001", Priority.NORMAL, 99, 1), failures);
  }

  @Test
  void whatFailsOnSeveralMachinesAndNeverSucceedsIsDoubtedAndNoMachineBlamedForIt() {
    assertTrue(fails(false, 1, 0), "it may be the machine");
    assertFalse(fails(false, 1, 0), "which is not three times as bad for three tasks of one job");
    assertFalse(fails(false, 1, 0));
    assertTrue(fails(false, 2, 0));
    assertFalse(doubts.doubted(entry));
    assertFalse(fails(false, 3, 0));
    assertTrue(doubts.doubted(entry));
  }

  @Test
  void aJobThatHasSucceededBlamesTheMachineEachTime() {
    for (int i = 0; i < 5; i++) {
      assertTrue(fails(true, 1, i));
    }
    assertFalse(doubts.doubted(entry));
  }

  @Test
  void triesGrowRarerAndASuccessEndsTheDoubt() {
    double at = 0;
    for (int i = 0; i < 3; i++) {
      fails(false, i, at);
    }
    double pause = 0;
    for (int i = 0; i < 12; i++) {
      Duration now = Duration.ofMillis((long) (at * 1000));
      double next = doubts.ready(entry, now).minus(now).toMillis() / 1000.0;
      assertTrue(next >= pause, next + " after " + pause);
      pause = next;
      at += pause;
      fails(false, i, at);
      fails(false, i + 1, at + 0.01);
      at += 0.01;
    }
    assertEquals(30, pause);
    doubts.drop("req-000001");
    assertFalse(doubts.doubted(entry));
  }

  /** A new leader has only the records, in which lapses count as failures as well. */
  @Test
  void aNewLeaderDoubtsWhatHasFailedInAllItsTries() {
    assertTrue(doubts.doubted(recorded(1, 1, 1)));
    assertTrue(doubts.doubted(recorded(4, 0, 3)), "two of its tasks may be under way");
    assertFalse(doubts.doubted(recorded(1, 1)));
    assertFalse(doubts.doubted(recorded(3, 0, 0, 0, 0)), "some fail, most are not known");
  }

  @Test
  void itsUserHearsOfTheTasksThatFail() {
    assertEquals(0, recorded(1, 1, 1).failing(CAP), "so far it may be chance");
    assertEquals(4, recorded(7, 5, 5, 5).failing(CAP), "nothing of it succeeds");
    assertEquals(1, recorded(20, 0, 0, 0).failing(CAP), "one task is past the cap");
  }
}
