package io.cherryspool.reachability;

import static io.cherryspool.reachability.ReachabilityFixture.fleet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests what a node does about the state of its links. LeadershipTransferTest covers handovers. */
class PartitionRuleTest {
  private static final Duration HEARTBEAT_INTERVAL = ReachabilityFixture.HEARTBEAT_INTERVAL;
  private static final Duration LEASE = ReachabilityFixture.TIMINGS.leaderLease();

  private final Reachability reachability =
      ReachabilityFixture.reachability("a", List.of("b", "c"));
  private Duration now = Duration.ofSeconds(50);

  private Verdict lead(double seconds, FleetReachability fleet) {
    Duration end = now.plusMillis((long) (seconds * 1000));
    Verdict verdict = reachability.evaluate(now, true, true, fleet);
    while (now.compareTo(end) < 0) {
      now = now.plus(HEARTBEAT_INTERVAL);
      verdict = reachability.evaluate(now, true, true, fleet);
    }
    return verdict;
  }

  private void failStateStoreLink(double seconds) {
    reachability.stateStoreLink().onFailure(now, now);
    now = now.plusMillis(250);
    reachability.stateStoreLink().onFailure(now, now);
    now = now.plusMillis((long) (seconds * 1000));
  }

  @Test
  void aLeaderWithoutTheStateStoreSuspendsPlacementUntilItIsAnswered() {
    failStateStoreLink(1);
    Verdict verdict = lead(0.5, fleet(0, 0, 0));
    assertEquals(new Verdict.SuspendPlacement(Reason.STATE_UNREACHABLE), verdict);
    assertTrue(!reachability.mayPlaceTasks() && !reachability.mayChangeFleet());
    reachability.stateStoreLink().onAnswer(now);
    assertEquals(new Verdict.Serve(), lead(0.5, fleet(0, 0, 0)));
  }

  @Test
  void aFollowerWithoutTheStateStoreForwardsUsersRequests() {
    failStateStoreLink(1);
    assertEquals(
        "pass-on", reachability.evaluate(now, false, false, FleetReachability.EMPTY).name());
  }

  @Test
  void evictionInAZoneIsSuspendedFromAThirdUnreachableDownToASixth() {
    assertEquals(
        "serve", lead(1, fleet(0, 3, 0)).name(), "three machines may have died at the same time");
    assertEquals("hold-zones zone-1", lead(1, fleet(0, 4, 0)).describe());
    assertTrue(
        reachability.isZoneEvictionSuspended("zone-1")
            && !reachability.isZoneEvictionSuspended("zone-0")
            && reachability.mayChangeFleet());
    assertEquals("hold-zones zone-1", lead(1, fleet(0, 2, 0)).describe(), "hysteresis");
    assertEquals("serve", lead(1, fleet(0, 1, 0)).name());
    assertEquals("serve", lead(1, fleet(0, 2, 0)).name());
  }

  /**
   * If two zones become unreachable at the same time, the cause is probably this node's own link.
   * Once the task leases have expired, the machines own no tasks any more.
   */
  @Test
  void fleetChangesAreSuspendedAtMostUntilTaskLeasesExpire() {
    assertEquals("hold-fleet", lead(1, fleet(9, 2, 0)).name());
    assertTrue(reachability.isZoneEvictionSuspended("zone-2") && !reachability.mayChangeFleet());
    assertEquals("hold-fleet", lead(20, fleet(9, 2, 0)).name());
    assertEquals("hold-zones zone-0", lead(2, fleet(9, 2, 0)).describe());
    assertTrue(
        reachability.mayChangeFleet(), "the tasks are free by then and may need new machines");
    assertEquals("serve", lead(1, fleet(0, 0, 0)).name());
    assertEquals(
        "hold-fleet", lead(1, fleet(9, 2, 0)).name(), "the time limit starts again with a new cut");
  }

  /** Recent changes of the leader double the number of machines that must be missing. */
  @Test
  void afterRecentChangesOfTheLeaderAHandoverNeedsMoreMissingMachines() {
    FleetReachability fifth = new FleetReachability(100, 20, Map.of());
    FleetReachability half = new FleetReachability(100, 50, Map.of());
    for (int i = 0; i < 2; i++) {
      reachability.recordLeadershipLoss(now);
    }
    for (int i = 0; i < 40; i++) {
      now = now.plus(HEARTBEAT_INTERVAL);
      reachability.receivePeerHeartbeat(heartbeat("b", 50, LinkState.UP), now);
      assertEquals("serve", reachability.evaluate(now, true, true, fifth).name());
    }
    assertEquals(
        "make-way for b, since the missing workers come to other nodes",
        describe(reachability.evaluate(now, true, true, half)));
  }

  private static String describe(Verdict verdict) {
    return verdict.describe() + ", since " + verdict.reason().text();
  }

  @Test
  void aNodeThatDoesNotReachTheStateStoreIsNoSuccessor() {
    FleetReachability half = new FleetReachability(100, 50, Map.of());
    Verdict verdict = new Verdict.Serve();
    for (int i = 0; i < 40; i++) {
      now = now.plus(HEARTBEAT_INTERVAL);
      reachability.receivePeerHeartbeat(heartbeat("b", 40, LinkState.DOWN), now);
      reachability.receivePeerHeartbeat(heartbeat("c", 30, LinkState.UP), now);
      verdict = reachability.evaluate(now, true, true, half);
    }
    assertEquals("make-way for c", verdict.describe());
  }

  private static Mesh.PeerHeartbeat heartbeat(String name, int redirected, LinkState state) {
    LinkSummary links =
        new LinkSummary(false, "", state, LinkState.UP, false, 0, "", List.of(), List.of());
    return new Mesh.PeerHeartbeat(
        name, 7, true, 0, redirected, 0, Mesh.RetainedRecordsSummary.NONE, links);
  }

  private Duration delay(String successor, String formerLeader) {
    return reachability.candidacyDelay(
        now,
        successor == null
            ? Optional.empty()
            : Optional.of(new NodeView.Handover(successor, formerLeader)));
  }

  @Test
  void theSuccessorRunsFirstAndTheFormerLeaderLast() {
    assertEquals(Duration.ZERO, delay(null, null));
    assertEquals(Duration.ZERO, delay("a", "b"));
    assertEquals(LEASE.dividedBy(4), delay("c", "b"));
    assertEquals(LEASE, delay("c", "a"));
    assertEquals(LEASE, delay("", "a"));
  }

  @Test
  void aNodeWhoseLinkFlapsRunsAfterOthersUntilThePenaltyDecays() {
    for (int i = 0; i < 3; i++) {
      failStateStoreLink(1);
      reachability.stateStoreLink().onAnswer(now);
      now = now.plusSeconds(2);
    }
    assertEquals(LEASE.dividedBy(2), delay(null, null));
    assertEquals(Duration.ZERO, delay("a", "b"), "the successor runs first even if its link flaps");
    now = now.plusSeconds(180);
    assertEquals(Duration.ZERO, delay(null, null));
  }

  /**
   * Losses of leadership that other nodes report in their heartbeats make this node's lease longer.
   */
  @Test
  void leasesGrowWithLeadershipLossesInTheWholeCluster() {
    assertEquals(LEASE, reachability.leaseLength(now));
    LinkSummary links =
        new LinkSummary(false, "", LinkState.UP, LinkState.UP, false, 9, "", List.of(), List.of());
    for (String name : List.of("b", "c")) {
      reachability.receivePeerHeartbeat(
          new Mesh.PeerHeartbeat(name, 7, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, links),
          now);
    }
    assertEquals(LEASE.multipliedBy(2), reachability.leaseLength(now));
  }
}
