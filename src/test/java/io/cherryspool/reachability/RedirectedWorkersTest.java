package io.cherryspool.reachability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests for how long redirected workers count. */
class RedirectedWorkersTest {
  private static final Duration START = Duration.ofSeconds(100);

  @Test
  void aRedirectedWorkerCountsWhileItKeepsComingBack() {
    RedirectedWorkers redirectedWorkers = new RedirectedWorkers();
    redirectedWorkers.recordRedirect("host-1", "z", START);
    redirectedWorkers.recordRedirect("host-2", "z", START.plusSeconds(5));
    redirectedWorkers.recordRedirect("host-1", "z", START.plusSeconds(6));
    assertEquals(2, redirectedWorkers.count(START.plusSeconds(6)));
    assertEquals(1, redirectedWorkers.count(START.plusSeconds(12)));
    assertEquals(0, redirectedWorkers.count(START.plusSeconds(60)));
  }
}
