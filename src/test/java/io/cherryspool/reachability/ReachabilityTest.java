package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.mesh.LinkState;
import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the summary of its links that a node sends to the other nodes. */
class ReachabilityTest {
  private final Reachability reachability =
      ReachabilityFixture.reachability("a", List.of("b", "c"));
  private Duration now = Duration.ofSeconds(50);

  /** Leads for this length of time while nine of the ten machines in zone-1 are silent. */
  private void lead(Duration length) {
    FleetReachability fleet = ReachabilityFixture.fleet(0, 9, 0);
    Duration end = now.plus(length);
    reachability.evaluate(now, true, true, fleet);
    while (now.compareTo(end) < 0) {
      now = now.plus(ReachabilityFixture.HEARTBEAT_INTERVAL);
      reachability.evaluate(now, true, true, fleet);
    }
  }

  private static Mesh.PeerHeartbeat heartbeat(String name) {
    return new Mesh.PeerHeartbeat(
        name, 7, true, 0, 0, 0, Mesh.RetainedRecordsSummary.NONE, LinkSummary.NONE);
  }

  @Test
  void theLinkSummaryContainsPeersAndZones() {
    reachability.receivePeerHeartbeat(heartbeat("b"), now);
    reachability.redirectedWorkers().recordRedirect("host-1", "zone-9", now);
    lead(Duration.ofSeconds(2));
    LinkSummary summary = reachability.linkSummary(now, true, "10.0.0.1:8080");
    assertEquals(
        List.of(
            new LinkSummary.PeerLink("b", LinkState.SUSPECT, 2000),
            new LinkSummary.PeerLink("c", LinkState.DOWN, -1)),
        summary.peers());
    assertEquals(
        new LinkSummary.ZoneLink("zone-1", LinkState.DOWN, 10, 9, 0), summary.zones().get(1));
    assertEquals(new LinkSummary.ZoneLink("zone-9", LinkState.UP, 0, 0, 1), summary.zones().get(3));
    assertTrue(summary.wasStalled(), "the node has run for only 2 s");
    assertInstanceOf(Verdict.SuspendZoneEviction.class, reachability.verdict());
  }
}
