package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When a leader hands leadership over, and when it must not. */
class LeadershipTransferTest {
  private static final Duration HEARTBEAT_INTERVAL = ReachabilityFixture.HEARTBEAT_INTERVAL;
  private static final Duration START = Duration.ofSeconds(100);

  private final Reachability reachability =
      ReachabilityFixture.reachability("leader", List.of("a", "b"));
  private Duration now = START;
  private boolean mayAnswerWorkers = true;

  /** To whom the leader hands over after receiving the heartbeats for so long; null if to none. */
  private String successorAfter(
      double seconds, int known, int missing, Mesh.PeerHeartbeat... heartbeats) {
    Duration end = now.plusMillis((long) (seconds * 1000));
    FleetReachability fleet = new FleetReachability(known, missing, Map.of());
    Verdict verdict = new Verdict.Serve();
    for (; now.compareTo(end) < 0; now = now.plus(HEARTBEAT_INTERVAL)) {
      for (Mesh.PeerHeartbeat heartbeat : heartbeats) {
        reachability.receivePeerHeartbeat(heartbeat, now);
      }
      verdict = reachability.evaluate(now, true, mayAnswerWorkers, fleet);
    }
    return verdict instanceof Verdict.HandOverLeadership handover ? handover.successor() : null;
  }

  private static Mesh.PeerHeartbeat heartbeat(
      String node, boolean isStoreReachable, int redirectedWorkers) {
    return new Mesh.PeerHeartbeat(
        node,
        7,
        isStoreReachable,
        0,
        redirectedWorkers,
        0,
        Mesh.RetainedRecordsSummary.NONE,
        LinkSummary.NONE);
  }

  @Test
  void theNodeToWhichMostMissingWorkersComeIsTheSuccessor() {
    assertEquals(
        "b", successorAfter(20, 900, 850, heartbeat("a", true, 430), heartbeat("b", true, 600)));
    assertEquals(
        "a", successorAfter(1, 900, 850, heartbeat("a", true, 430), heartbeat("b", false, 600)));
    assertEquals(
        "b",
        successorAfter(1, 900, 850, heartbeat("a", true, 210), heartbeat("b", true, 230)),
        "together");
  }

  @Test
  void deadMachinesAndPassingCallersAreNoReason() {
    assertNull(successorAfter(20, 900, 300, heartbeat("a", true, 4)), "a zone is cut off or dead");
    assertNull(
        successorAfter(1, 900, 12, heartbeat("a", true, 300)),
        "workers on their way to the new leader");
    assertNull(successorAfter(1, 900, 0, heartbeat("a", true, 0)));
  }

  /** Nodes may refuse one another's connections while the leader loses its workers. */
  @Test
  void withoutHeartbeatsFromAnyNodeHalfOfTheMachinesDecide() {
    assertNull(successorAfter(20, 900, 850), "it never received a heartbeat");
    assertNull(successorAfter(1, 900, 850, heartbeat("a", true, 0)), "they come to no other node");
    assertEquals(Verdict.HandOverLeadership.ANY_NODE, successorAfter(3, 900, 450));
    assertNull(successorAfter(1, 900, 449));
  }

  /** What waited in the sockets of a node that stood still is not read yet. */
  @Test
  void aNodeThatStoodStillOrHasJustBeenElectedWaitsForItsWorkers() {
    Mesh.PeerHeartbeat heartbeat = heartbeat("a", true, 800);
    assertNull(successorAfter(3, 900, 850, heartbeat), "it has led for 3 s");
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
    now = now.plusSeconds(9);
    assertNull(successorAfter(1, 900, 850, heartbeat));
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
    mayAnswerWorkers = false;
    assertNull(successorAfter(20, 900, 900, heartbeat), "it could not answer");
    mayAnswerWorkers = true;
    assertNull(
        successorAfter(5, 900, 700, heartbeat), "after an outage they all come from the others");
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
  }

  /** It answers so late that its workers go round, and hands its work to one that is no larger. */
  @Test
  void aNodeThatIsTooBusyToAnswerInTimeKeepsItsWork() {
    Mesh.PeerHeartbeat heartbeat = heartbeat("a", true, 400);
    assertEquals("a", successorAfter(20, 900, 450, heartbeat));
    for (int i = 0; i < 40; i++) {
      now = now.plusMillis(300);
      assertNull(successorAfter(3, 900, 450, heartbeat));
    }
    assertEquals("a", successorAfter(20, 900, 450, heartbeat), "once it keeps up again");
  }
}
