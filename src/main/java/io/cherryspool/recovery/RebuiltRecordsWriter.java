package io.cherryspool.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.Records;
import io.cherryspool.store.RecordsSnapshot;
import io.cherryspool.store.StateStoreException;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the records of a rebuild under the key prefix of its incarnation: first the bundles of
 * jobs, then the term and the machine types. It respects the state store's limits on the size of
 * transactions and on changes per second. Confined to the event loop.
 */
final class RebuiltRecordsWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RebuiltRecordsWriter.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);
  private static final Duration RATE_LIMITED_RETRY_DELAY = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final RecoveryTimings timings;
  private final Incarnation incarnation;
  private final long incarnationVersion;
  private final Runnable onSuperseded;
  private boolean isStopped;

  /**
   * Creates a writer for one rebuild.
   *
   * @param incarnation the incarnation that is being rebuilt
   * @param incarnationVersion the version of its identity record, a condition of each transaction
   * @param onSuperseded called when another node has replaced the identity record; nothing is
   *     written afterwards
   */
  RebuiltRecordsWriter(
      EventLoop loop,
      RecoveryStore store,
      RecoveryTimings timings,
      Incarnation incarnation,
      long incarnationVersion,
      Runnable onSuperseded) {
    this.loop = loop;
    this.store = store;
    this.timings = timings;
    this.incarnation = incarnation;
    this.incarnationVersion = incarnationVersion;
    this.onSuperseded = onSuperseded;
  }

  /** Stops writing. No callback is called afterwards. */
  void stop() {
    isStopped = true;
  }

  /**
   * Writes all records and retries failed transactions.
   *
   * @param bundles the encoded jobs of the records
   * @param onWritten called once when everything is written
   */
  void write(RecordsSnapshot records, List<byte[]> bundles, Runnable onWritten) {
    writeBundles(bundles, 0, () -> writeTermAndMachineTypes(records, onWritten));
  }

  private void writeBundles(List<byte[]> bundles, int from, Runnable onWritten) {
    List<StateStoreProtocol.Change> changes = nextTransaction(bundles, from);
    if (changes.isEmpty()) {
      onWritten.run();
    } else {
      commit(changes, () -> writeBundles(bundles, from + changes.size(), onWritten));
    }
  }

  /**
   * Returns changes for the next bundles, as many as fit into one transaction; at least one if any
   * bundles are left.
   */
  private List<StateStoreProtocol.Change> nextTransaction(List<byte[]> bundles, int from) {
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    int bytes = 0;
    for (int i = from;
        i < bundles.size() && changes.size() < timings.maxTransactionChanges();
        i++) {
      int size = encodedBytes(bundles.get(i));
      if (bytes + size > StateStoreProtocol.MAX_TRANSACTION_VALUE_BYTES && !changes.isEmpty()) {
        break;
      }
      changes.add(change(Records.bundleKey(i), Records.encodeBundle(bundles.get(i))));
      bytes += size;
    }
    return changes;
  }

  /** Returns the size of a bundle in a transaction, where it is encoded as Base64. */
  private static int encodedBytes(byte[] bundle) {
    return bundle.length * 4 / 3 + StateStoreProtocol.CHANGE_OVERHEAD_BYTES;
  }

  private void writeTermAndMachineTypes(RecordsSnapshot records, Runnable onWritten) {
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    changes.add(change(Records.TERM, Records.encodeTerm(records.term())));
    if (records.catalog() != null) {
      changes.add(change(Records.CATALOG, records.catalog()));
    }
    commit(changes, onWritten);
  }

  private StateStoreProtocol.Change change(String key, JsonNode value) {
    return new StateStoreProtocol.Change(incarnation.toPhysicalKey(key), value, 0);
  }

  private void commit(List<StateStoreProtocol.Change> changes, Runnable onCommitted) {
    if (isStopped) {
      return;
    }
    Duration sentAt = loop.now();
    store
        .commit(incarnationVersion, changes)
        .whenComplete(
            (result, failure) -> {
              if (isStopped) {
                return;
              }
              if (failure != null) {
                retry(changes, onCommitted, failure);
              } else if (result.isApplied()) {
                waitForQuota(sentAt, changes.size(), onCommitted);
              } else {
                onSuperseded.run();
              }
            });
  }

  /** Retries a transaction. If it was applied already, it writes the same values again. */
  private void retry(
      List<StateStoreProtocol.Change> changes, Runnable onCommitted, Throwable failure) {
    LOG.debug("failed to write rebuilt records, retrying: {}", failure.toString());
    boolean isRateLimited =
        StateStoreException.kindOf(failure) == StateStoreException.Kind.RATE_LIMITED;
    loop.schedule(
        isRateLimited ? RATE_LIMITED_RETRY_DELAY : RETRY_DELAY, () -> commit(changes, onCommitted));
  }

  /**
   * Delays the next step until the limit on changes per second allows for the transaction that was
   * sent last.
   */
  private void waitForQuota(Duration sentAt, int changeCount, Runnable next) {
    Duration due = sentAt.plusNanos((long) (changeCount * 1e9 / timings.changesPerSecond()));
    Duration wait = due.minus(loop.now());
    loop.schedule(wait.isNegative() ? Duration.ZERO : wait, () -> runUnlessStopped(next));
  }

  private void runUnlessStopped(Runnable next) {
    if (!isStopped) {
      next.run();
    }
  }
}
