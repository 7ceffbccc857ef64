package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests when a machine is evicted. Heartbeats are sent every 4 s, and task leases are certain to
 * have expired after 22 s.
 */
class MachineEvictionRuleTest {
  private static final Duration OBSERVER_HEALTHY_FOR = Duration.ofSeconds(100);
  private static final Optional<Duration> RECEIVING = Optional.empty();

  private final MachineEvictionRule rule = new MachineEvictionRule(ReachabilityFixture.TIMINGS);

  private Optional<MachineEvictionRule.EvictionReason> evaluate(
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
        OBSERVER_HEALTHY_FOR);
  }

  @Test
  void aSilentMachineIsEvictedAfterThreeMissedHeartbeats() {
    assertEquals(Optional.empty(), evaluate(14, RECEIVING, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        evaluate(15, RECEIVING, true, false, false));
  }

  @Test
  void aSilentMachineThatOwnsTasksAndAnswersNoCallIsEvictedAfterTwoMissedHeartbeats() {
    assertEquals(Optional.empty(), evaluate(8, RECEIVING, true, true, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        evaluate(9, RECEIVING, true, true, false));
    assertEquals(Optional.empty(), evaluate(9, RECEIVING, false, true, false));
  }

  @Test
  void inAnUnreachableZoneAMachineIsEvictedOnlyAfterTwoLeases() {
    assertEquals(Optional.empty(), evaluate(44, RECEIVING, true, true, true));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        evaluate(45, RECEIVING, true, true, true));
    assertEquals(
        Optional.empty(), evaluate(1, Optional.of(Duration.ofSeconds(44)), true, false, true));
  }

  @Test
  void aMachineThatReceivesNoAnswersIsEvictedOnceItsTasksHaveEnded() {
    Optional<Duration> notReceivingFor = Optional.of(Duration.ofSeconds(21));
    assertEquals(Optional.empty(), evaluate(1, notReceivingFor, true, false, false));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.NOT_RECEIVING),
        evaluate(1, notReceivingFor, false, false, false));
    notReceivingFor = Optional.of(Duration.ofSeconds(23));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.NOT_RECEIVING),
        evaluate(1, notReceivingFor, true, false, false));
  }

  /** Messages that were sent while this node was stalled may be waiting unread in its sockets. */
  @Test
  void aNodeThatWasStalledEvictsNoMachine() {
    MachineEvictionRule.Observation machine =
        new MachineEvictionRule.Observation(Duration.ofSeconds(30), RECEIVING, true, true, false);
    assertEquals(Optional.empty(), rule.evaluate(machine, Duration.ofSeconds(7)));
    assertEquals(
        Optional.of(MachineEvictionRule.EvictionReason.SILENT),
        rule.evaluate(machine, Duration.ofSeconds(9)));
  }
}
