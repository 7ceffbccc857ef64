package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads all keys of the present incarnation by a {@link KeyScan}, then the changes since its first
 * page: pages are of different revisions, so that only both together are the state at one revision.
 * Failures are retried until it succeeds or is cancelled.
 */
final class ReplicaLoader {
  /** In place of a revision: the changes since the first page are read. */
  static final long SINCE_FIRST_PAGE = -1;

  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final LongSupplier minRevision;
  private final long since;
  private final Consumer<Loaded> onLoaded;
  private final Map<String, StateStoreProtocol.Event> entries = new HashMap<>();
  private KeyScan scan;
  private boolean isCancelled;

  /**
   * All keys with their values at a revision.
   *
   * @param entries the last event of each key; a removed key has one without a value
   * @param sentAt when the last read was sent; all that was committed before is included
   */
  record Loaded(Map<String, StateStoreProtocol.Event> entries, long revision, Duration sentAt) {}

  /**
   * Creates a load that is not started yet.
   *
   * @param minRevision the revision that the copy in use has reached; nothing older replaces it
   * @param since the revision since which changes are read, or {@link #SINCE_FIRST_PAGE}
   * @param onLoaded receives the result, unless the load is cancelled before
   */
  ReplicaLoader(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      LongSupplier minRevision,
      long since,
      Consumer<Loaded> onLoaded) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.minRevision = minRevision;
    this.since = since;
    this.onLoaded = onLoaded;
  }

  void start() {
    if (isCancelled) {
      return;
    }
    entries.clear();
    scan = new KeyScan(loop, client, rateLimiter, client.keySpace().prefix(), this::receiveKeys);
    scan.start();
  }

  void cancel() {
    isCancelled = true;
    scan.cancel();
  }

  private void receiveKeys(KeyScan.ScanResult all) {
    all.entries().forEach(entry -> entries.put(entry.key(), entry));
    readChanges(since == SINCE_FIRST_PAGE ? all.firstRevision() : since);
  }

  private void readChanges(long from) {
    if (isCancelled) {
      return;
    }
    rateLimiter.forceAcquire(0);
    Duration sentAt = loop.now();
    client
        .readChanges(Records.PREFIX, from, Duration.ZERO)
        .whenComplete(
            (changes, failure) -> {
              if (failure == null) {
                receiveChanges(changes, sentAt);
              } else if (StateStoreException.kindOf(failure) == StateStoreException.Kind.GONE) {
                loop.schedule(RETRY_DELAY, this::start);
              } else {
                loop.schedule(RETRY_DELAY, () -> readChanges(from));
              }
            });
  }

  private void receiveChanges(StateStoreProtocol.WatchResult changes, Duration sentAt) {
    if (isCancelled) {
      return;
    }
    for (StateStoreProtocol.Event event : changes.events()) {
      StateStoreProtocol.Event known = entries.get(event.key());
      if (known == null || known.version() <= event.version()) {
        entries.put(event.key(), event);
      }
    }
    if (changes.revision() < minRevision.getAsLong()) {
      // A read that was sent before this one was carried out after it, and callers were answered
      // from the copy that includes it. Those answers must stay true.
      readChanges(changes.revision());
      return;
    }
    onLoaded.accept(new Loaded(entries, changes.revision(), sentAt));
  }
}
