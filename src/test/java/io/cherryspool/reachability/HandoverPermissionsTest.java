package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests what a leader that is handing leadership over may do until its term ends. Such a leader
 * once suspended nothing during that time. A machine whose eviction timeout expired just then was
 * deleted together with its tasks, although the machine was silent only because of the leader's own
 * link. The fault was found by reading the code. These tests set the verdict directly and check the
 * permissions that follow from it.
 */
class HandoverPermissionsTest {
  private static final Duration NOW = Duration.ofSeconds(100);

  private static Reachability withVerdict(Verdict verdict) {
    Reachability reachability =
        new Reachability(
            "leader", List.of("a", "b"), ReachabilityFixture.TIMINGS, true, view -> verdict);
    assertEquals(verdict, reachability.evaluate(NOW, true, true, FleetReachability.EMPTY));
    return reachability;
  }

  @Test
  void aLeaderThatHandsOverMayNotEvictScaleOrPlace() {
    Reachability leader =
        withVerdict(new Verdict.HandOverLeadership("a", Reason.WORKERS_REACH_OTHER_NODES));
    assertTrue(leader.isZoneEvictionSuspended("any"));
    assertFalse(leader.mayChangeFleet());
    assertFalse(leader.mayPlaceTasks(), "the successor would have to undo its placements");
  }

  /**
   * While a leader hands over, the eviction rule for single machines waits as long as it does for a
   * zone that is cut off.
   */
  @Test
  void aLeaderThatHandsOverDoesNotEvictASilentMachine() {
    Reachability leader =
        withVerdict(
            new Verdict.HandOverLeadership(
                Verdict.HandOverLeadership.ANY_NODE, Reason.NO_PEERS_AND_WORKERS_MISSING));
    MachineEvictionRule.Observation silent =
        new MachineEvictionRule.Observation(
            Duration.ofSeconds(20),
            Optional.empty(),
            true,
            true,
            leader.isZoneEvictionSuspended("any"));
    assertEquals(Optional.empty(), leader.machineEvictionRule().evaluate(silent, NOW));
  }

  @Test
  void aLeaderThatServesMayEvictAndPlace() {
    Reachability leader = withVerdict(new Verdict.Serve());
    assertInstanceOf(Verdict.Serve.class, leader.verdict());
    assertFalse(leader.isZoneEvictionSuspended("any"));
    assertTrue(leader.mayPlaceTasks());
  }
}
