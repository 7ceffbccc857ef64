package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads all physical keys with a prefix, page by page. The pages may be of different revisions.
 * Failed requests are retried until the scan succeeds or is cancelled.
 *
 * <p>Each instance scans once. It must be used on the event loop.
 */
public final class KeyScan {
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final String prefix;
  private final Consumer<ScanResult> onScanned;
  private final List<StateStoreProtocol.Event> entries = new ArrayList<>();
  private long firstRevision = -1;
  private boolean isCancelled;

  /**
   * All keys that were found.
   *
   * @param entries all entries in the order of their keys
   * @param firstRevision the revision of the first page; later changes may be missing from the
   *     entries
   */
  public record ScanResult(List<StateStoreProtocol.Event> entries, long firstRevision) {}

  /**
   * Creates a scan that is not started yet.
   *
   * @param rateLimiter counts each request, but never delays one
   * @param onScanned receives the result, unless the scan is cancelled first
   */
  public KeyScan(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      String prefix,
      Consumer<ScanResult> onScanned) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.prefix = prefix;
    this.onScanned = onScanned;
  }

  /** Requests the first page. */
  public void start() {
    readPage(null);
  }

  /** Cancels the scan. No result is delivered afterwards. */
  public void cancel() {
    isCancelled = true;
  }

  /**
   * Requests the page after a key.
   *
   * @param after the last key of the previous page, null for the first page
   */
  private void readPage(String after) {
    if (isCancelled) {
      return;
    }
    rateLimiter.forceAcquire(0);
    client.listKeys(prefix, after).whenComplete((page, failure) -> receive(after, page, failure));
  }

  private void receive(String after, StateStoreProtocol.KeyPage page, Throwable failure) {
    if (isCancelled) {
      return;
    }
    if (failure != null) {
      loop.schedule(RETRY_DELAY, () -> readPage(after));
      return;
    }
    firstRevision = firstRevision < 0 ? page.revision() : firstRevision;
    entries.addAll(page.entries());
    if (page.hasMore() && !page.entries().isEmpty()) {
      readPage(page.entries().get(page.entries().size() - 1).key());
    } else {
      onScanned.accept(new ScanResult(entries, firstRevision));
    }
  }
}
