package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.function.LongConsumer;

/**
 * Replaces the identity record on condition of its version. It retries until a read confirms that
 * the record is written, or shows that another node has replaced it. Confined to the event loop.
 */
final class IncarnationRecordWriter {
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final Runnable onSuperseded;
  private boolean isStopped;

  /**
   * Creates a writer for one rebuild.
   *
   * @param onSuperseded called when another node has replaced the record; nothing is written
   *     afterwards
   */
  IncarnationRecordWriter(EventLoop loop, RecoveryStore store, Runnable onSuperseded) {
    this.loop = loop;
    this.store = store;
    this.onSuperseded = onSuperseded;
  }

  /** Stops writing. No callback is called afterwards. */
  void stop() {
    isStopped = true;
  }

  /**
   * Writes the record.
   *
   * @param replacedVersion the version of the record that is replaced, 0 if there must be no record
   * @param onWritten called with the version of the written record
   */
  void replace(Incarnation record, long replacedVersion, LongConsumer onWritten) {
    if (isStopped) {
      return;
    }
    store
        .replaceIncarnation(record, replacedVersion)
        .whenComplete(
            (result, failure) -> {
              if (isStopped) {
                return;
              }
              if (failure == null && result.isApplied()) {
                onWritten.accept(result.revision());
              } else {
                // The transaction may have been applied nevertheless: its answer may be lost, or
                // its second copy may be rejected because the first one was applied.
                loop.schedule(RETRY_DELAY, () -> verify(record, replacedVersion, onWritten));
              }
            });
  }

  private void verify(Incarnation record, long replacedVersion, LongConsumer onWritten) {
    if (isStopped) {
      return;
    }
    store
        .readIncarnation()
        .whenComplete(
            (reading, failure) -> {
              if (isStopped) {
                return;
              }
              if (failure != null) {
                loop.schedule(RETRY_DELAY, () -> verify(record, replacedVersion, onWritten));
              } else {
                compare(record, replacedVersion, reading, onWritten);
              }
            });
  }

  private void compare(
      Incarnation record,
      long replacedVersion,
      StateStoreClient.IncarnationReading reading,
      LongConsumer onWritten) {
    if (record.equals(reading.incarnation())) {
      onWritten.accept(reading.version());
    } else if (reading.version() == replacedVersion) {
      replace(record, replacedVersion, onWritten);
    } else {
      onSuperseded.run();
    }
  }
}
