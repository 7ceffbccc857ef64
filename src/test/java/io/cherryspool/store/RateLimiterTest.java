package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.time.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Tests the write rates of leaders and followers, with 60 changes per second for three nodes and 25
 * for five nodes.
 */
class RateLimiterTest {
  private final VirtualTime time = new VirtualTime();

  private void advance(int millis) {
    Duration end = time.now().plusMillis(millis);
    time.schedule(Duration.ofMillis(millis), () -> {});
    time.runNextEvent(end);
  }

  private RateLimiter newRateLimiter(int nodeCount, double changesPerSecond, boolean isLeader) {
    RateLimiter rateLimiter = new RateLimiter(time, nodeCount, 200, changesPerSecond);
    rateLimiter.setLeader(isLeader);
    advance(3000);
    return rateLimiter;
  }

  private int measureWritesPerSecond(RateLimiter rateLimiter, RateLimiter.WriteClass writeClass) {
    while (rateLimiter.tryAcquireWrites(RateLimiter.WriteClass.CANCEL, 1)) {}
    int count = 0;
    for (int i = 0; i < 100; i++) {
      advance(100);
      while (rateLimiter.tryAcquireWrites(writeClass, 1)) {
        count++;
      }
    }
    return count / 10;
  }

  /**
   * With fixed shares, each of five nodes could write only 2.4 changes per second, however little
   * the leader wrote.
   */
  @Test
  void theLeaderReducesItsRateByTheRatesThatOtherNodesReport() {
    assertEquals(
        4, measureWritesPerSecond(newRateLimiter(5, 25, false), RateLimiter.WriteClass.SUBMIT));
    RateLimiter leader = newRateLimiter(5, 25, true);
    leader.setOtherNodesWriteRates(5, 5, 5, 5);
    assertEquals(21, measureWritesPerSecond(leader, RateLimiter.WriteClass.CANCEL));
    leader.setOtherNodesWriteRates(40, 40, 30, 30);
    assertEquals(
        9,
        measureWritesPerSecond(leader, RateLimiter.WriteClass.CANCEL),
        "the leader keeps its minimum rate");
  }

  @Test
  void recentWritesAreAveragedAndDecay() {
    RateLimiter rateLimiter = newRateLimiter(3, 60, false);
    for (int i = 0; i < 50; i++) {
      advance(200);
      assertTrue(rateLimiter.tryAcquireWrites(RateLimiter.WriteClass.SUBMIT, 1));
    }
    assertEquals(5, rateLimiter.recentWritesPerSecond(), 0.5);
    advance(10000);
    assertEquals(0, rateLimiter.recentWritesPerSecond(), 0.1);
  }

  /**
   * Otherwise a job that ends with more shards than a scheduling round may ever write could never
   * end.
   */
  @Test
  void everyClassAndSizeOfTransactionIsEventuallyAllowed() {
    RateLimiter leader = newRateLimiter(3, 60, true);
    for (RateLimiter.WriteClass writeClass : RateLimiter.WriteClass.values()) {
      for (int count : new int[] {1, 20, 48}) {
        advance(3000);
        assertTrue(leader.tryAcquireWrites(writeClass, count), writeClass + " " + count);
      }
    }
    advance(3000);
    assertFalse(
        leader.mayWrite(RateLimiter.WriteClass.IDLE, 20, 10),
        "a larger transaction is not allowed in parts");
    leader.forceAcquire(40);
    assertFalse(
        leader.mayWrite(RateLimiter.WriteClass.IDLE, 0, 1),
        "idle work leaves writes to the more urgent classes");
    advance(400);
    assertTrue(leader.mayWrite(RateLimiter.WriteClass.ROUND, 0, 1));
    assertFalse(leader.mayWrite(RateLimiter.WriteClass.DEFERRABLE, 0, 1));
  }
}
