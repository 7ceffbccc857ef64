package io.cherryspool.controller.provisioning;

import io.cherryspool.controller.fleet.Fleet;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Instance;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The instances as the cloud lists them, read page by page; the list lags behind what the cloud
 * knows. Each complete reading replaces the one before and registers the running instances with the
 * fleet. Used on the event loop only.
 */
final class InstanceList {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceList.class);

  /** How long after a reading was begun the next one is due. */
  private static final Duration READING_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final Fleet fleet;
  private final Runnable onRead;
  private final Map<String, Instance> instances = new HashMap<>();

  /** When the last reading was begun, null before the first. */
  private Duration lastBegunAt;

  /** When the last reading that was completed had been begun, null before that. */
  private Duration completeSince;

  /**
   * Creates the instance list.
   *
   * @param onRead is run after each complete reading
   */
  InstanceList(EventLoop loop, CloudCallSlot calls, Fleet fleet, Runnable onRead) {
    this.loop = loop;
    this.calls = calls;
    this.fleet = fleet;
    this.onRead = onRead;
  }

  /** Whether the list is to be read again. */
  boolean isReadingDue(Duration now) {
    return lastBegunAt == null || now.minus(lastBegunAt).compareTo(READING_INTERVAL) > 0;
  }

  /** Begins to read the list; the call slot must be free, and is taken until the last page. */
  void read(Duration now) {
    lastBegunAt = now;
    readPage(null, new HashMap<>());
  }

  /** Whether the whole list was read in this term. */
  boolean isRead() {
    return completeSince != null;
  }

  /** Whether the whole list was read at this moment or later. */
  boolean isReadSince(Duration moment) {
    return completeSince != null && completeSince.compareTo(moment) >= 0;
  }

  /** The instances last listed, whatever their state. */
  Collection<Instance> all() {
    return Collections.unmodifiableCollection(instances.values());
  }

  /** Whether an instance of this name was last listed. */
  boolean contains(String name) {
    return instances.containsKey(name);
  }

  /** The names of the instances that may run tasks, as a copy. */
  Set<String> usableNames() {
    Set<String> names = new HashSet<>();
    for (Instance item : instances.values()) {
      if (item.status() != Instance.Status.FAILED) {
        names.add(item.name());
      }
    }
    return names;
  }

  private void readPage(String after, Map<String, Instance> found) {
    calls
        .acquire()
        .listInstances(after)
        .whenComplete(
            (page, failure) -> {
              calls.release();
              if (failure != null || calls.isClosed()) {
                LOG.debug("listing instances failed: {}", String.valueOf(failure));
                return;
              }
              page.instances().forEach(item -> found.put(item.name(), item));
              if (page.hasMore() && !page.instances().isEmpty()) {
                readPage(page.instances().get(page.instances().size() - 1).name(), found);
              } else {
                replaceWith(found);
              }
            });
  }

  private void replaceWith(Map<String, Instance> found) {
    completeSince = lastBegunAt;
    instances.clear();
    instances.putAll(found);
    Duration now = loop.now();
    for (Instance item : found.values()) {
      if (!fleet.isDeleted(item.name()) && item.status() == Instance.Status.RUNNING) {
        fleet.register(item.name(), item.address(), item.type(), item.zone(), item.isSpot(), now);
      }
    }
    onRead.run();
  }
}
