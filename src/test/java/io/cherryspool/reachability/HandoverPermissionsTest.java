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
 * What a leader may do that has judged that workers do not reach it, until its term is over. It
 * once suspended nothing meanwhile, so that a machine whose patience ended just then was deleted,
 * with its tasks, for the leader's own silence. Found by reading; in these tests the verdict is
 * drawn and the permissions are read off.
 */
class HandoverPermissionsTest {
  private static final Duration NOW = Duration.ofSeconds(100);

  private static Reachability judged(Verdict verdict) {
    Reachability reachability =
        new Reachability(
            "leader", List.of("a", "b"), ReachabilityFixture.TIMINGS, true, view -> verdict);
    assertEquals(verdict, reachability.evaluate(NOW, true, true, FleetReachability.EMPTY));
    return reachability;
  }

  @Test
  void aLeaderThatHandsOverDeletesNoSilentMachine() {
    Reachability leader =
        judged(new Verdict.HandOverLeadership("a", Reason.WORKERS_REACH_OTHER_NODES));
    assertTrue(leader.isZoneEvictionSuspended("any"));
    assertFalse(leader.mayChangeFleet());
    assertFalse(leader.mayPlaceTasks(), "nothing that its successor would have to take back");
  }

  /** The rule of single machines then waits as for a zone that is cut off. */
  @Test
  void aSilentMachineIsGivenUpByTheSuccessorAtTheEarliest() {
    Reachability leader =
        judged(
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
  void aLeaderThatServesDeletesIt() {
    Reachability leader = judged(new Verdict.Serve());
    assertInstanceOf(Verdict.Serve.class, leader.verdict());
    assertFalse(leader.isZoneEvictionSuspended("any"));
    assertTrue(leader.mayPlaceTasks());
  }
}
