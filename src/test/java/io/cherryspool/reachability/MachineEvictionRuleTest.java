package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Heartbeats come every 4 s, and the leases of tasks have surely expired after 22 s. */
class MachineEvictionRuleTest {
  private static final Duration STEADY_FOR = Duration.ofSeconds(100);
  private static final Optional<Duration> RECEIVING = Optional.empty();

  private final MachineEvictionRule rule = new MachineEvictionRule(ReachabilityFixture.TIMINGS);

  private Optional<MachineEvictionRule.EvictionReason> judge(
      int silentSeconds,
      Optional<Duration> notReceivingFor,
      boolean ownsTasks,
      boolean isUnresponsive,
      boolean isZoneEvictionSuspended) {
    return rule.evaluate(
        new MachineEvictionRule.Observation(
            Duration.ofSeconds(silentSeconds),
            notReceivingFor,
            ownsTasks,
            isUnresponsive,
            isZoneEvictionSuspended),
        STEADY_FOR);
  }

  @Test
  void aSilentMachineIsGivenUpAfterThreeHeartbeats() {
    assertEquals(Optional.empty(), judge(14, RECEIVING, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        judge(15, RECEIVING, true, false, false));
  }

  @Test
  void oneThatOwnsTasksAndAnswersNoCallIsGivenUpAfterTwoHeartbeats() {
    assertEquals(Optional.empty(), judge(8, RECEIVING, true, true, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        judge(9, RECEIVING, true, true, false));
    assertEquals(Optional.empty(), judge(9, RECEIVING, false, true, false));
  }

  @Test
  void inAnUnreachableZoneAMachineIsGivenUpOnlyAfterTwoLeases() {
    assertEquals(Optional.empty(), judge(44, RECEIVING, true, true, true));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        judge(45, RECEIVING, true, true, true));
    assertEquals(
        Optional.empty(), judge(1, Optional.of(Duration.ofSeconds(44)), true, false, true));
  }

  @Test
  void aMachineThatReceivesNothingIsGivenUpOnceItsTasksHaveEnded() {
    Optional<Duration> notReceivingFor = Optional.of(Duration.ofSeconds(21));
    assertEquals(Optional.empty(), judge(1, notReceivingFor, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.NOT_RECEIVING),
        judge(1, notReceivingFor, false, false, false));
    notReceivingFor = Optional.of(Duration.ofSeconds(23));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.NOT_RECEIVING),
        judge(1, notReceivingFor, true, false, false));
  }

  /** What was sent while this node stood still waits in its sockets. */
  @Test
  void anObserverThatStoodStillGivesUpNoMachine() {
    MachineEvictionRule.Observation machine =
        new MachineEvictionRule.Observation(Duration.ofSeconds(30), RECEIVING, true, true, false);
    assertEquals(Optional.empty(), rule.evaluate(machine, Duration.ofSeconds(7)));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        rule.evaluate(machine, Duration.ofSeconds(9)));
  }
}
