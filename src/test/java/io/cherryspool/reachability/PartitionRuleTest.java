package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What a node does about its links; who makes way for whom is in LeadershipTransferTest. */
class PartitionRuleTest {
  private static final Duration HEARTBEAT = ReachabilityFixture.HEARTBEAT;
  private static final Duration LEASE = ReachabilityFixture.TIMINGS.leaderLease();

  private final Reachability node = ReachabilityFixture.reachability("a", List.of("b", "c"));
  private Duration now = Duration.ofSeconds(50);

  private Verdict lead(double seconds, FleetReachability fleet) {
    Duration end = now.plusMillis((long) (seconds * 1000));
    Verdict verdict = node.judge(now, true, true, fleet);
    while (now.compareTo(end) < 0) {
      now = now.plus(HEARTBEAT);
      verdict = node.judge(now, true, true, fleet);
    }
    return verdict;
  }

  private static FleetReachability fleet(int... unheardOfTen) {
    FleetReachability.Builder view = new FleetReachability.Builder();
    for (int zone = 0; zone < unheardOfTen.length; zone++) {
      for (int i = 0; i < 10; i++) {
        ContactState contact =
            i < unheardOfTen[zone] ? ContactState.SILENT : ContactState.REACHABLE;
        view.addMachine("zone-" + zone, true, contact);
      }
    }
    return view.build();
  }

  private void stateFails(double seconds) {
    node.stateLink().failed(now, now);
    now = now.plusMillis(250);
    node.stateLink().failed(now, now);
    now = now.plusMillis((long) (seconds * 1000));
  }

  @Test
  void aLeaderWithoutTheStateServiceHoldsPlacingUntilItIsAnswered() {
    stateFails(1);
    Verdict verdict = lead(0.5, fleet(0, 0, 0));
    assertEquals(new Verdict.SuspendPlacement(Reason.STATE_UNREACHABLE), verdict);
    assertTrue(!node.mayPlaceTasks() && !node.mayChangeFleet());
    node.stateLink().answered(now);
    assertEquals(new Verdict.Serve(), lead(0.5, fleet(0, 0, 0)));
  }

  @Test
  void aFollowerWithoutTheStateServicePassesUsersOn() {
    stateFails(1);
    assertEquals("pass-on", node.judge(now, false, false, FleetReachability.EMPTY).name());
  }

  @Test
  void aZoneIsHeldWhileASixthOfItIsUnheard() {
    assertEquals("serve", lead(1, fleet(0, 3, 0)).name(), "three may have died together");
    assertEquals("hold-zones zone-1", lead(1, fleet(0, 4, 0)).describe());
    assertTrue(
        node.isZoneEvictionSuspended("zone-1")
            && !node.isZoneEvictionSuspended("zone-0")
            && node.mayChangeFleet());
    assertEquals("hold-zones zone-1", lead(1, fleet(0, 2, 0)).describe(), "hysteresis");
    assertEquals("serve", lead(1, fleet(0, 1, 0)).name());
    assertEquals("serve", lead(1, fleet(0, 2, 0)).name());
  }

  /** Two zones at once are rather this node's silence; the stated time is the lapse of leases. */
  @Test
  void theFleetIsHeldForTheTimeOfALapseAtTheMost() {
    assertEquals("hold-fleet", lead(1, fleet(9, 2, 0)).name());
    assertTrue(node.isZoneEvictionSuspended("zone-2") && !node.mayChangeFleet());
    assertEquals("hold-fleet", lead(20, fleet(9, 2, 0)).name());
    assertEquals("hold-zones zone-0", lead(2, fleet(9, 2, 0)).describe());
    assertTrue(node.mayChangeFleet(), "what they ran is free by then, and needs machines");
    assertEquals("serve", lead(1, fleet(0, 0, 0)).name());
    assertEquals("hold-fleet", lead(1, fleet(9, 2, 0)).name(), "another cut, another time");
  }

  @Test
  void machinesThatWereNeverHeardInTheTermCountAsMissing() {
    FleetReachability.Builder view = new FleetReachability.Builder();
    for (int i = 0; i < 6; i++) {
      view.addMachine("a", true, i < 4 ? ContactState.NEVER_SEEN : ContactState.REACHABLE);
      view.addMachine("a", false, ContactState.NEVER_SEEN);
      view.addMachine("a", true, ContactState.NEW);
    }
    assertEquals(6, view.build().known(), "those that the list lacks were taken back, or are new");
    assertEquals(4, view.build().missing());
  }

  /** Each change lately doubles what a further one must be worth. */
  @Test
  void afterChangesOfTheLeaderAFurtherOneMustBeWorthMore() {
    FleetReachability fifth = new FleetReachability(100, 20, java.util.Map.of());
    FleetReachability half = new FleetReachability(100, 50, java.util.Map.of());
    for (int i = 0; i < 2; i++) {
      node.recordLeadershipLoss(now);
    }
    for (int i = 0; i < 40; i++) {
      now = now.plus(HEARTBEAT);
      node.receive(heartbeat("b", 50, LinkState.UP), now);
      assertEquals("serve", node.judge(now, true, true, fifth).name());
    }
    assertEquals(
        "make-way for b, since the missing workers come to other nodes",
        describe(node.judge(now, true, true, half)));
  }

  private static String describe(Verdict verdict) {
    return verdict.describe() + ", since " + verdict.reason().text();
  }

  @Test
  void aNodeThatTheStateServiceDoesNotAnswerIsNoSuccessor() {
    FleetReachability half = new FleetReachability(100, 50, java.util.Map.of());
    Verdict verdict = new Verdict.Serve();
    for (int i = 0; i < 40; i++) {
      now = now.plus(HEARTBEAT);
      node.receive(heartbeat("b", 40, LinkState.DOWN), now);
      node.receive(heartbeat("c", 30, LinkState.UP), now);
      verdict = node.judge(now, true, true, half);
    }
    assertEquals("make-way for c", verdict.describe());
  }

  private static Mesh.PeerHeartbeat heartbeat(String name, int redirected, LinkState state) {
    LinkSummary links =
        new LinkSummary(false, "", state, LinkState.UP, false, 0, "", List.of(), List.of());
    return new Mesh.PeerHeartbeat(
        name, 7, true, 0, redirected, 0, Mesh.RetainedRecordsSummary.NONE, links);
  }

  private Duration delay(String successor, String by) {
    return node.candidacyDelay(
        now,
        successor == null ? Optional.empty() : Optional.of(new NodeView.Handover(successor, by)));
  }

  @Test
  void theSuccessorStandsFirstAndWhoMadeWayLast() {
    assertEquals(Duration.ZERO, delay(null, null));
    assertEquals(Duration.ZERO, delay("a", "b"));
    assertEquals(LEASE.dividedBy(4), delay("c", "b"));
    assertEquals(LEASE, delay("c", "a"));
    assertEquals(LEASE, delay("", "a"));
  }

  @Test
  void oneWhoseLinkFlapsStandsAfterOthersUntilThatHeals() {
    for (int i = 0; i < 3; i++) {
      stateFails(1);
      node.stateLink().answered(now);
      now = now.plusSeconds(2);
    }
    assertEquals(LEASE.dividedBy(2), delay(null, null));
    assertEquals(Duration.ZERO, delay("a", "b"), "the successor is the better one all the same");
    now = now.plusSeconds(180);
    assertEquals(Duration.ZERO, delay(null, null));
  }

  /** Losses of the leadership that other nodes tell of make this one's lease longer. */
  @Test
  void leasesGrowWithTheLossesInTheWholeCluster() {
    assertEquals(LEASE, node.leaseLength(now));
    LinkSummary links =
        new LinkSummary(false, "", LinkState.UP, LinkState.UP, false, 9, "", List.of(), List.of());
    for (String name : List.of("b", "c")) {
      node.receive(
          new Mesh.PeerHeartbeat(name, 7, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, links),
          now);
    }
    assertEquals(LEASE.multipliedBy(2), node.leaseLength(now));
  }

  @Test
  void whatANodeTellsOfItsLinks() {
    node.receive(heartbeat("b", 0, LinkState.UP), now);
    node.redirectedWorkers().recordVisit("host-1", "zone-9", now);
    lead(2, fleet(0, 9, 0));
    LinkSummary report = node.linkSummary(now, true, "10.0.0.1:8080");
    assertEquals(
        List.of(
            new LinkSummary.PeerLink("b", LinkState.SUSPECT, 2000),
            new LinkSummary.PeerLink("c", LinkState.DOWN, -1)),
        report.peers());
    assertEquals(
        new LinkSummary.ZoneLink("zone-1", LinkState.DOWN, 10, 9, 0), report.zones().get(1));
    assertEquals(new LinkSummary.ZoneLink("zone-9", LinkState.UP, 0, 0, 1), report.zones().get(3));
    assertTrue(report.wasStalled(), "it has run for 2 s only");
    assertInstanceOf(Verdict.SuspendZoneEviction.class, node.verdict());
  }
}
