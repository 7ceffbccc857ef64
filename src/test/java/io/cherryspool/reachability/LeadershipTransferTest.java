package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.cherryspool.mesh.LinkSummary;
import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when a leader hands leadership over and when it must not. */
class LeadershipTransferTest {
  private static final Duration HEARTBEAT_INTERVAL = ReachabilityFixture.HEARTBEAT_INTERVAL;
  private static final Duration START = Duration.ofSeconds(100);

  private final Reachability reachability =
      ReachabilityFixture.reachability("leader", List.of("a", "b"));
  private Duration now = START;
  private boolean mayAnswerWorkers = true;

  /**
   * Returns the successor to which the leader hands over after it has received the heartbeats for
   * this number of seconds; null if it does not hand over.
   */
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
      String node, boolean isStateStoreReachable, int redirectedWorkers) {
    return new Mesh.PeerHeartbeat(
        node,
        7,
        isStateStoreReachable,
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
        "the redirected workers of all nodes are added up");
  }

  @Test
  void noHandoverForDeadMachinesOrWorkersOnTheirWayToTheLeader() {
    assertNull(successorAfter(20, 900, 300, heartbeat("a", true, 4)), "a zone is cut off or dead");
    assertNull(
        successorAfter(1, 900, 12, heartbeat("a", true, 300)),
        "the workers are on their way to the new leader");
    assertNull(successorAfter(1, 900, 0, heartbeat("a", true, 0)));
  }

  /**
   * The connections between the nodes may fail at the same time as those from the workers to the
   * leader.
   */
  @Test
  void withoutPeerHeartbeatsALeaderHandsOverIfHalfOfItsMachinesAreMissing() {
    assertNull(successorAfter(20, 900, 850), "the leader has never received a heartbeat");
    assertNull(
        successorAfter(1, 900, 850, heartbeat("a", true, 0)), "the workers come to no other node");
    assertEquals(Verdict.HandOverLeadership.ANY_NODE, successorAfter(3, 900, 450));
    assertNull(successorAfter(1, 900, 449));
  }

  /** After a stall, heartbeats may still be waiting unread in the node's sockets. */
  @Test
  void aLeaderWaitsForItsWorkersAfterAStallAnElectionOrAnOutage() {
    Mesh.PeerHeartbeat heartbeat = heartbeat("a", true, 800);
    assertNull(successorAfter(3, 900, 850, heartbeat), "the leader has led for only 3 s");
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
    now = now.plusSeconds(9);
    assertNull(successorAfter(1, 900, 850, heartbeat));
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
    mayAnswerWorkers = false;
    assertNull(successorAfter(20, 900, 900, heartbeat), "the leader could not answer workers");
    mayAnswerWorkers = true;
    assertNull(
        successorAfter(5, 900, 700, heartbeat),
        "after an outage all workers come back from the other nodes");
    assertEquals("a", successorAfter(20, 900, 850, heartbeat));
  }

  /**
   * Workers try the other nodes because the leader answers too late. A successor would have no more
   * capacity.
   */
  @Test
  void aLeaderThatIsTooBusyToAnswerInTimeDoesNotHandOver() {
    Mesh.PeerHeartbeat heartbeat = heartbeat("a", true, 400);
    assertEquals("a", successorAfter(20, 900, 450, heartbeat));
    for (int i = 0; i < 40; i++) {
      now = now.plusMillis(300);
      assertNull(successorAfter(3, 900, 450, heartbeat));
    }
    assertEquals("a", successorAfter(20, 900, 450, heartbeat), "the leader runs on time again");
  }
}
