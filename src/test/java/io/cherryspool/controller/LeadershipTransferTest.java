package io.cherryspool.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.cherryspool.mesh.Mesh;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** When a leader makes way, and when it must not. */
class LeadershipTransferTest {
  private static final Duration PERIOD = Duration.ofMillis(500);
  private static final Duration START = Duration.ofSeconds(100);

  private final Timings timings =
      new Timings(
          Duration.ofSeconds(4),
          Duration.ofSeconds(12),
          Duration.ofSeconds(22),
          Duration.ofSeconds(4),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2),
          Duration.ofSeconds(5));
  private final Peers peers = new Peers();
  private final LeadershipTransfer transfer = new LeadershipTransfer(peers, timings, PERIOD);
  private Duration now = START;

  private boolean acting = true;

  private String after(double seconds, int known, int lost, Mesh.Heartbeat... heartbeats) {
    Duration end = now.plusMillis((long) (seconds * 1000));
    for (; now.compareTo(end) < 0; now = now.plus(PERIOD)) {
      transfer.tick(now, acting);
      for (Mesh.Heartbeat heartbeat : heartbeats) {
        peers.receive(heartbeat, now);
      }
    }
    return transfer.successor(new LeaderTerm.Reach(known, lost), now);
  }

  private static Mesh.Heartbeat says(String node, boolean state, int redirectedWorkers) {
    return new Mesh.Heartbeat(node, 7, state, 0, redirectedWorkers, 0, Mesh.Memory.NONE);
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
    assertEquals(LeadershipTransfer.ANYBODY, after(3, 900, 450));
    assertNull(after(1, 900, 449));
  }

  /** What waited in the sockets of a node that stood still is not read yet. */
  @Test
  void aNodeThatStoodStillOrLeadsOnlyNowLetsItsWorkersComeFirst() {
    Mesh.Heartbeat heartbeat = says("a", true, 800);
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
    Mesh.Heartbeat heartbeat = says("a", true, 400);
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
    redirectedWorkers.note("host-1", START);
    redirectedWorkers.note("host-2", START.plusSeconds(5));
    redirectedWorkers.note("host-1", START.plusSeconds(6));
    assertEquals(2, redirectedWorkers.count(START.plusSeconds(6)));
    assertEquals(1, redirectedWorkers.count(START.plusSeconds(12)));
    assertEquals(0, redirectedWorkers.count(START.plusSeconds(60)));
  }
}
