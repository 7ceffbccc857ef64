package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads all keys with a prefix, page by page, as the service has them. Pages are of different
 * moments. Failures are retried until it succeeds or is cancelled.
 */
public final class KeyScan {
  private static final Duration RETRY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final String prefix;
  private final Consumer<ScanResult> done;
  private final List<StateStoreProtocol.Event> found = new ArrayList<>();
  private long firstRevision = -1;
  private boolean cancelled;

  /**
   * All keys that were found.
   *
   * @param firstRevision the revision of the first page; changes since then may be missing
   */
  public record ScanResult(List<StateStoreProtocol.Event> entries, long firstRevision) {}

  public KeyScan(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      String prefix,
      Consumer<ScanResult> done) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.prefix = prefix;
    this.done = done;
  }

  public void start() {
    read(null);
  }

  public void cancel() {
    cancelled = true;
  }

  private void read(String after) {
    if (cancelled) {
      return;
    }
    rateLimiter.forceAcquire(0);
    client.list(prefix, after).whenComplete((page, failure) -> take(after, page, failure));
  }

  private void take(String after, StateStoreProtocol.KeyPage page, Throwable failure) {
    if (cancelled) {
      return;
    }
    if (failure != null) {
      loop.schedule(RETRY, () -> read(after));
      return;
    }
    firstRevision = firstRevision < 0 ? page.revision() : firstRevision;
    found.addAll(page.items());
    if (page.hasMore() && !page.items().isEmpty()) {
      read(page.items().get(page.items().size() - 1).key());
    } else {
      done.accept(new ScanResult(found, firstRevision));
    }
  }
}
