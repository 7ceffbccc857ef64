package io.cherryspool.reachability;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the workers that come to this node although another leads. Each comes once when it is
 * redirected; one that does not reach the leader comes again and again, since it tries the nodes in
 * turn. Confined to the event loop.
 */
public final class RedirectedWorkers {
  /**
   * For how long a visit counts. A worker waits 4 s for the leader, 1 s before it tries the next
   * node, and half a second more.
   */
  private static final Duration REDIRECT_RETENTION = Duration.ofMillis(6500);

  /** The last visit of each machine, the oldest first. */
  private final Map<String, Redirect> lastRedirects = new LinkedHashMap<>();

  private record Redirect(String zone, Duration at) {}

  /** Records that a worker of the zone came, and was redirected. */
  public void recordRedirect(String machine, String zone, Duration now) {
    lastRedirects.remove(machine);
    lastRedirects.put(machine, new Redirect(zone, now));
    evictExpired(now);
  }

  /** How many came lately. */
  public int count(Duration now) {
    evictExpired(now);
    return lastRedirects.size();
  }

  /** How many came lately, by zone. */
  public Map<String, Integer> countByZone(Duration now) {
    evictExpired(now);
    Map<String, Integer> result = new TreeMap<>();
    lastRedirects.values().forEach(redirect -> result.merge(redirect.zone, 1, Integer::sum));
    return result;
  }

  private void evictExpired(Duration now) {
    Iterator<Redirect> oldest = lastRedirects.values().iterator();
    while (oldest.hasNext() && now.minus(oldest.next().at).compareTo(REDIRECT_RETENTION) > 0) {
      oldest.remove();
    }
  }
}
