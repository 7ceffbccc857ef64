package io.cherryspool.reachability;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the workers that come to this node although another leads. Each comes once when it is sent
 * on; one that does not reach the leader comes again and again, since it tries the nodes in turn.
 */
public final class RedirectedWorkers {
  /**
   * A worker waits 4 s for the leader, 1 s before it tries the next node, and half a second more.
   */
  private static final Duration ROUND = Duration.ofMillis(6500);

  private final Map<String, Seen> seen = new LinkedHashMap<>();

  private record Seen(String zone, Duration at) {}

  /** A worker of the zone came, and was sent on. */
  public void recordVisit(String machine, String zone, Duration now) {
    seen.remove(machine);
    seen.put(machine, new Seen(zone, now));
    forget(now);
  }

  /** How many came lately. */
  public int count(Duration now) {
    forget(now);
    return seen.size();
  }

  /** How many came lately, by zone. */
  public Map<String, Integer> countByZone(Duration now) {
    forget(now);
    Map<String, Integer> result = new TreeMap<>();
    seen.values().forEach(item -> result.merge(item.zone, 1, Integer::sum));
    return result;
  }

  private void forget(Duration now) {
    Iterator<Seen> oldest = seen.values().iterator();
    while (oldest.hasNext() && now.minus(oldest.next().at).compareTo(ROUND) > 0) {
      oldest.remove();
    }
  }
}
