package io.cherryspool.reachability;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the workers that this node has recently redirected to the leader. A worker that reaches
 * the leader after its redirect sends this node no further heartbeats. A worker that does not reach
 * the leader sends this node heartbeats repeatedly, because it tries the nodes in turn. Confined to
 * the event loop.
 */
public final class RedirectedWorkers {
  /**
   * For how long a redirect counts. A worker that tries the nodes in turn sends this node its next
   * heartbeat within this time: it waits 4 s for the leader and 1 s before it tries the next node;
   * the rest is a margin.
   */
  private static final Duration REDIRECT_RETENTION = Duration.ofMillis(6500);

  /** The last redirect of each machine, the oldest first. */
  private final Map<String, Redirect> lastRedirects = new LinkedHashMap<>();

  private record Redirect(String zone, Duration at) {}

  /** Records that the worker on this machine was redirected. */
  public void recordRedirect(String machine, String zone, Duration now) {
    lastRedirects.remove(machine);
    lastRedirects.put(machine, new Redirect(zone, now));
    evictExpired(now);
  }

  /** Returns the number of workers that were recently redirected. */
  public int count(Duration now) {
    evictExpired(now);
    return lastRedirects.size();
  }

  /** Returns the number of workers that were recently redirected, by zone. */
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
