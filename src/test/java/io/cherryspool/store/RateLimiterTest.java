package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Who may write how much, with 60 changes a second for three nodes and 25 for five. */
class RateLimiterTest {
  private final VirtualTime time = new VirtualTime();

  private void advance(int millis) {
    Duration end = time.now().plusMillis(millis);
    time.schedule(Duration.ofMillis(millis), () -> {});
    time.runNextEvent(end);
  }

  private RateLimiter rateLimiter(int nodes, double writes, boolean leader) {
    RateLimiter rateLimiter = new RateLimiter(time, nodes, 200, writes);
    rateLimiter.setLeader(leader);
    advance(3000);
    return rateLimiter;
  }

  private int perSecond(RateLimiter rateLimiter, RateLimiter.WriteClass use) {
    while (rateLimiter.tryAcquireWrites(RateLimiter.WriteClass.CANCEL, 1)) {}
    int count = 0;
    for (int i = 0; i < 100; i++) {
      advance(100);
      while (rateLimiter.tryAcquireWrites(use, 1)) {
        count++;
      }
    }
    return count / 10;
  }

  /** With five nodes 2.4 a second were left to each, however little the leader wrote. */
  @Test
  void theLeaderLeavesTheOthersWhatTheyReport() {
    assertEquals(4, perSecond(rateLimiter(5, 25, false), RateLimiter.WriteClass.SUBMIT));
    RateLimiter leader = rateLimiter(5, 25, true);
    leader.setOtherNodesWriteRates(5, 5, 5, 5);
    assertEquals(21, perSecond(leader, RateLimiter.WriteClass.CANCEL));
    leader.setOtherNodesWriteRates(40, 40, 30, 30);
    assertEquals(
        9,
        perSecond(leader, RateLimiter.WriteClass.CANCEL),
        "what is left, and never less than that");
  }

  @Test
  void recentWritesAreAveragedAndDecay() {
    RateLimiter rateLimiter = rateLimiter(3, 60, false);
    for (int i = 0; i < 50; i++) {
      advance(200);
      assertTrue(rateLimiter.tryAcquireWrites(RateLimiter.WriteClass.SUBMIT, 1));
    }
    assertEquals(5, rateLimiter.recentWritesPerSecond(), 0.5);
    advance(10000);
    assertEquals(0, rateLimiter.recentWritesPerSecond(), 0.1);
  }

  /** A job that ended with more shards than a round is ever left would never have ended. */
  @Test
  void noClassAndNoSizeOfTransactionWaitsForever() {
    RateLimiter leader = rateLimiter(3, 60, true);
    for (RateLimiter.WriteClass use : RateLimiter.WriteClass.values()) {
      for (int count : new int[] {1, 20, 48}) {
        advance(3000);
        assertTrue(leader.tryAcquireWrites(use, count), use + " " + count);
      }
    }
    advance(3000);
    assertFalse(
        leader.mayWrite(RateLimiter.WriteClass.IDLE, 20, 10), "nor may it take that bit by bit");
    leader.forceAcquire(40);
    assertFalse(
        leader.mayWrite(RateLimiter.WriteClass.IDLE, 0, 1), "idle work leaves room for the others");
    advance(400);
    assertTrue(leader.mayWrite(RateLimiter.WriteClass.ROUND, 0, 1));
    assertFalse(leader.mayWrite(RateLimiter.WriteClass.DEFERRABLE, 0, 1));
  }
}
