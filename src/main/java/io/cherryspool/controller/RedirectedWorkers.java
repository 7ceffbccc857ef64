package io.cherryspool.controller;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the workers that come to this node although another leads. Each comes once when it is sent
 * on; one that does not reach the leader comes again and again, since it tries the nodes in turn.
 */
final class RedirectedWorkers {
  /**
   * A worker waits 4 s for the leader, 1 s before it tries the next node, and half a second more.
   */
  private static final Duration ROUND = Duration.ofMillis(6500);

  private final Map<String, Duration> seen = new LinkedHashMap<>();

  void note(String machine, Duration now) {
    seen.remove(machine);
    seen.put(machine, now);
    forget(now);
  }

  int count(Duration now) {
    forget(now);
    return seen.size();
  }

  private void forget(Duration now) {
    Iterator<Duration> oldest = seen.values().iterator();
    while (oldest.hasNext() && now.minus(oldest.next()).compareTo(ROUND) > 0) {
      oldest.remove();
    }
  }
}
