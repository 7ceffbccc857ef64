package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Reports come every 4 s, and a task is surely gone after 22 s. */
class MachineEvictionRuleTest {
  private static final Duration LONG = Duration.ofSeconds(100);
  private static final Optional<Duration> HEEDS = Optional.empty();

  private final MachineEvictionRule rule = new MachineEvictionRule(ReachabilityFixture.TIMINGS);

  private Optional<MachineEvictionRule.Fault> judge(
      int silent, Optional<Duration> deaf, boolean owns, boolean mute, boolean held) {
    return rule.judge(
        new MachineEvictionRule.Observation(Duration.ofSeconds(silent), deaf, owns, mute, held),
        LONG);
  }

  @Test
  void aSilentMachineIsGivenUpAfterThreeReports() {
    assertEquals(Optional.empty(), judge(14, HEEDS, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.Fault.SILENT), judge(15, HEEDS, true, false, false));
  }

  @Test
  void oneThatOwnsTasksAndAnswersNoCallAfterTwo() {
    assertEquals(Optional.empty(), judge(8, HEEDS, true, true, false));
    assertEquals(Optional.of(MachineEvictionRule.Fault.SILENT), judge(9, HEEDS, true, true, false));
    assertEquals(Optional.empty(), judge(9, HEEDS, false, true, false));
  }

  @Test
  void inAZoneThatIsHeldOnlyAfterTwoLeases() {
    assertEquals(Optional.empty(), judge(44, HEEDS, true, true, true));
    assertEquals(Optional.of(MachineEvictionRule.Fault.SILENT), judge(45, HEEDS, true, true, true));
    assertEquals(
        Optional.empty(), judge(1, Optional.of(Duration.ofSeconds(44)), true, false, true));
  }

  @Test
  void aDeafMachineIsGivenUpOnceItsTasksAreOver() {
    Optional<Duration> deaf = Optional.of(Duration.ofSeconds(21));
    assertEquals(Optional.empty(), judge(1, deaf, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.Fault.NOT_RECEIVING), judge(1, deaf, false, false, false));
    deaf = Optional.of(Duration.ofSeconds(23));
    assertEquals(
        Optional.of(MachineEvictionRule.Fault.NOT_RECEIVING), judge(1, deaf, true, false, false));
  }

  /** What was sent while this node stood still waits in its sockets. */
  @Test
  void anObserverThatStoodStillGivesNobodyUp() {
    MachineEvictionRule.Observation signs =
        new MachineEvictionRule.Observation(Duration.ofSeconds(30), HEEDS, true, true, false);
    assertEquals(Optional.empty(), rule.judge(signs, Duration.ofSeconds(7)));
    assertEquals(
        Optional.of(MachineEvictionRule.Fault.SILENT), rule.judge(signs, Duration.ofSeconds(9)));
  }
}
