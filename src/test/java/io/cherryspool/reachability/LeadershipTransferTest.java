package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When a leader makes way, and when it must not. */
class LeadershipTransferTest {
  private static final Duration PERIOD = ReachabilityFixture.HEARTBEAT;
  private static final Duration START = Duration.ofSeconds(100);

  private final Reachability reachability =
      ReachabilityFixture.reachability("leader", List.of("a", "b"));
  private Duration now = START;

  private boolean acting = true;

  /** For whom the leader makes way then, or null. */
  private String after(double seconds, int known, int lost, Mesh.PeerHeartbeat... heartbeats) {
    Duration end = now.plusMillis((long) (seconds * 1000));
    FleetReachability fleet = new FleetReachability(known, lost, Map.of());
    Verdict verdict = new Verdict.Serve();
    for (; now.compareTo(end) < 0; now = now.plus(PERIOD)) {
      for (Mesh.PeerHeartbeat heartbeat : heartbeats) {
        reachability.receive(heartbeat, now);
      }
      verdict = reachability.judge(now, true, acting, fleet);
    }
    return verdict instanceof Verdict.HandOverLeadership away ? away.successor() : null;
  }

  private static Mesh.PeerHeartbeat says(String node, boolean state, int redirectedWorkers) {
    return new Mesh.PeerHeartbeat(
        node,
        7,
        state,
        0,
        redirectedWorkers,
        0,
        Mesh.RetainedRecordsSummary.NONE,
        LinkSummary.NONE);
  }

  @Test
  void theNodeThatHearsMostOfTheLostOnesIsTheSuccessor() {
    assertEquals("b", after(20, 900, 850, says("a", true, 430), says("b", true, 600)));
    assertEquals("a", after(1, 900, 850, says("a", true, 430), says("b", false, 600)));
    assertEquals("b", after(1, 900, 850, says("a", true, 210), says("b", true, 230)), "together");
  }

  @Test
  void deadMachinesAndPassingCallersAreNoReason() {
    assertNull(after(20, 900, 300, says("a", true, 4)), "a zone is cut off or dead");
    assertNull(after(1, 900, 12, says("a", true, 300)), "workers on their way to the new leader");
    assertNull(after(1, 900, 0, says("a", true, 0)));
  }

  /** Nodes may refuse one another's connections while the leader loses its workers. */
  @Test
  void withoutWordFromAnyNodeHalfOfTheMachinesDecide() {
    assertNull(after(20, 900, 850), "it never heard of another node");
    assertNull(after(1, 900, 850, says("a", true, 0)), "nobody else hears them");
    assertEquals(Verdict.HandOverLeadership.ANY_NODE, after(3, 900, 450));
    assertNull(after(1, 900, 449));
  }

  /** What waited in the sockets of a node that stood still is not read yet. */
  @Test
  void aNodeThatStoodStillOrLeadsOnlyNowLetsItsWorkersComeFirst() {
    Mesh.PeerHeartbeat heartbeat = says("a", true, 800);
    assertNull(after(3, 900, 850, heartbeat), "it has led for 3 s");
    assertEquals("a", after(20, 900, 850, heartbeat));
    now = now.plusSeconds(9);
    assertNull(after(1, 900, 850, heartbeat));
    assertEquals("a", after(20, 900, 850, heartbeat));
    acting = false;
    assertNull(after(20, 900, 900, heartbeat), "it could not answer");
    acting = true;
    assertNull(after(5, 900, 700, heartbeat), "after an outage they all come from the others");
    assertEquals("a", after(20, 900, 850, heartbeat));
  }

  /** It answers so late that its workers go round, and hands its work to one that is no larger. */
  @Test
  void aNodeThatIsTooBusyToAnswerInTimeKeepsItsWork() {
    Mesh.PeerHeartbeat heartbeat = says("a", true, 400);
    assertEquals("a", after(20, 900, 450, heartbeat));
    for (int i = 0; i < 40; i++) {
      now = now.plusMillis(300);
      assertNull(after(3, 900, 450, heartbeat));
    }
    assertEquals("a", after(20, 900, 450, heartbeat), "once it keeps up again");
  }

  @Test
  void aWorkerCountsAsStrayWhileItKeepsComing() {
    RedirectedWorkers redirectedWorkers = new RedirectedWorkers();
    redirectedWorkers.recordVisit("host-1", "z", START);
    redirectedWorkers.recordVisit("host-2", "z", START.plusSeconds(5));
    redirectedWorkers.recordVisit("host-1", "z", START.plusSeconds(6));
    assertEquals(2, redirectedWorkers.count(START.plusSeconds(6)));
    assertEquals(1, redirectedWorkers.count(START.plusSeconds(12)));
    assertEquals(0, redirectedWorkers.count(START.plusSeconds(60)));
  }
}
