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
 * The instances as the cloud lists them. The list is read page by page and lags behind the real
 * state of the instances. Each complete read replaces the previous one and registers the running
 * instances with the fleet. Used on the event loop only.
 */
final class InstanceList {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceList.class);

  /** The time from the start of one read to the start of the next. */
  private static final Duration READ_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final CloudCallSlot calls;
  private final Fleet fleet;
  private final Runnable onRead;
  private final Map<String, Instance> instances = new HashMap<>();

  /** When the last read was started, null before the first one. */
  private Duration lastReadStartedAt;

  /** When the last completed read was started, null before one was completed. */
  private Duration lastCompleteReadStartedAt;

  /**
   * Creates the instance list.
   *
   * @param onRead called after each complete read
   */
  InstanceList(EventLoop loop, CloudCallSlot calls, Fleet fleet, Runnable onRead) {
    this.loop = loop;
    this.calls = calls;
    this.fleet = fleet;
    this.onRead = onRead;
  }

  /** Whether it is time to read the list again. */
  boolean isReadDue(Duration now) {
    return lastReadStartedAt == null || now.minus(lastReadStartedAt).compareTo(READ_INTERVAL) > 0;
  }

  /** Starts to read the list. The call slot must be free; it is taken again for each page. */
  void read(Duration now) {
    lastReadStartedAt = now;
    readPage(null, new HashMap<>());
  }

  /** Whether the whole list has been read in this term. */
  boolean isRead() {
    return lastCompleteReadStartedAt != null;
  }

  /** Whether a complete read of the list was started at this moment or later. */
  boolean isReadSince(Duration moment) {
    return lastCompleteReadStartedAt != null && lastCompleteReadStartedAt.compareTo(moment) >= 0;
  }

  /** Returns a view of the instances that the last complete read listed, in any state. */
  Collection<Instance> all() {
    return Collections.unmodifiableCollection(instances.values());
  }

  /** Whether the last complete read listed an instance with this name. */
  boolean contains(String name) {
    return instances.containsKey(name);
  }

  /**
   * Returns a copy of the set of names of the listed instances that have not failed and so may run
   * tasks.
   */
  Set<String> usableNames() {
    Set<String> names = new HashSet<>();
    for (Instance instance : instances.values()) {
      if (instance.status() != Instance.Status.FAILED) {
        names.add(instance.name());
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
                LOG.debug(
                    "listing instances failed or the term has ended: {}", String.valueOf(failure));
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
    lastCompleteReadStartedAt = lastReadStartedAt;
    instances.clear();
    instances.putAll(found);
    Duration now = loop.now();
    for (Instance instance : found.values()) {
      if (!fleet.isDeleted(instance.name()) && instance.status() == Instance.Status.RUNNING) {
        fleet.register(
            instance.name(),
            instance.address(),
            instance.type(),
            instance.zone(),
            instance.isSpot(),
            now);
      }
    }
    onRead.run();
  }
}
