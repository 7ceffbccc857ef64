package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Loads all records of the current incarnation at one revision. It reads all keys with a {@link
 * KeyScan}, whose pages may be of different revisions, and then applies the changes since the first
 * page. Failed requests are retried until the load succeeds or is cancelled.
 */
final class ReplicaLoader {
  /** Represents the revision of the first page of the scan, which is not known in advance. */
  static final long SINCE_FIRST_PAGE = -1;

  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final LongSupplier minRevision;
  private final long sinceRevision;
  private final Consumer<LoadResult> onLoaded;
  private final Map<String, StateStoreProtocol.Event> entries = new HashMap<>();
  private KeyScan scan;
  private boolean isCancelled;

  /**
   * The result of a load: all keys with their values at one revision.
   *
   * @param entries the last event of each key; the event of a removed key has no value
   * @param sentAt the time at which the last read was sent; everything that was committed before is
   *     included
   */
  record LoadResult(
      Map<String, StateStoreProtocol.Event> entries, long revision, Duration sentAt) {}

  /**
   * Creates a load that is not started yet.
   *
   * @param minRevision the revision that the replica has reached; the result of the load is not
   *     older
   * @param sinceRevision the revision after which changes are read, or {@link #SINCE_FIRST_PAGE}
   * @param onLoaded receives the result, unless the load is cancelled first
   */
  ReplicaLoader(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      LongSupplier minRevision,
      long sinceRevision,
      Consumer<LoadResult> onLoaded) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.minRevision = minRevision;
    this.sinceRevision = sinceRevision;
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

  private void receiveKeys(KeyScan.ScanResult scanned) {
    scanned.entries().forEach(entry -> entries.put(entry.key(), entry));
    readChanges(sinceRevision == SINCE_FIRST_PAGE ? scanned.firstRevision() : sinceRevision);
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
      // An earlier read of the replica was executed after this one, and callers may have been
      // answered from the newer state. The load must not set the replica back behind that state.
      readChanges(changes.revision());
      return;
    }
    onLoaded.accept(new LoadResult(entries, changes.revision(), sentAt));
  }
}
