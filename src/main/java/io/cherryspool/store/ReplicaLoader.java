package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads all keys, page by page, then the changes since the first page. Pages are of different
 * moments, so that what was read is whole only after that catching up. Failures are retried until
 * it succeeds or is cancelled.
 */
final class ReplicaLoader {
  private static final Duration RETRY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final LongSupplier atLeast;
  private final long since;
  private final Consumer<Loaded> done;
  private final Map<String, StateStoreProtocol.Event> found = new HashMap<>();
  private KeyScan scan;
  private boolean cancelled;

  /**
   * All keys with their values at a revision.
   *
   * @param sent when the reading that made it whole was sent
   */
  record Loaded(Map<String, StateStoreProtocol.Event> found, long revision, Duration sent) {}

  /**
   * @param atLeast the revision that the copy in use has reached; nothing older replaces it
   * @param since changes since this revision are read as well, -1 for since the first page
   */
  ReplicaLoader(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      LongSupplier atLeast,
      long since,
      Consumer<Loaded> done) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.atLeast = atLeast;
    this.since = since;
    this.done = done;
  }

  void start() {
    if (cancelled) {
      return;
    }
    found.clear();
    scan = new KeyScan(loop, client, rateLimiter, client.keySpace().prefix(), this::scanned);
    scan.start();
  }

  void cancel() {
    cancelled = true;
    scan.cancel();
  }

  private void scanned(KeyScan.ScanResult all) {
    all.entries().forEach(item -> found.put(item.key(), item));
    catchUp(since < 0 ? all.firstRevision() : since);
  }

  private void catchUp(long from) {
    if (cancelled) {
      return;
    }
    rateLimiter.forceAcquire(0);
    Duration sent = loop.now();
    client
        .readChanges(Records.PREFIX, from, Duration.ZERO)
        .whenComplete(
            (changes, failure) -> {
              if (failure == null) {
                take(changes, sent);
              } else if (StateStoreException.kindOf(failure) == StateStoreException.Kind.GONE) {
                loop.schedule(RETRY, this::start);
              } else {
                loop.schedule(RETRY, () -> catchUp(from));
              }
            });
  }

  private void take(StateStoreProtocol.WatchResult changes, Duration sent) {
    if (cancelled) {
      return;
    }
    for (StateStoreProtocol.Event event : changes.events()) {
      StateStoreProtocol.Event known = found.get(event.key());
      if (known == null || known.version() <= event.version()) {
        found.put(event.key(), event);
      }
    }
    if (changes.revision() < atLeast.getAsLong()) {
      // A reading from before was carried out later than this one and has been answered from the
      // copy. What users were told must not be taken back.
      catchUp(changes.revision());
      return;
    }
    done.accept(new Loaded(found, changes.revision(), sent));
  }
}
