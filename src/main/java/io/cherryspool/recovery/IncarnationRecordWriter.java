package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.StateStoreClient;
import java.time.Duration;
import java.util.function.LongConsumer;

/**
 * Replaces the incarnation's record on condition of its version. It tries until the record is
 * surely there, or another node has replaced it. Confined to the event loop.
 */
final class IncarnationRecordWriter {
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final RecoveryStore store;
  private final Runnable onSuperseded;
  private boolean isStopped;

  /**
   * A writer for one rebuild.
   *
   * @param onSuperseded called instead of going on when another node has replaced the record
   */
  IncarnationRecordWriter(EventLoop loop, RecoveryStore store, Runnable onSuperseded) {
    this.loop = loop;
    this.store = store;
    this.onSuperseded = onSuperseded;
  }

  /** After this nothing is written any more and nothing is called. */
  void stop() {
    isStopped = true;
  }

  /**
   * Writes the record.
   *
   * @param replacedVersion the version of the record that it replaces, 0 if there must be none
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
              if (failure == null && result.applied()) {
                onWritten.accept(result.revision());
              } else {
                // An answer may be lost, and a copy of the transaction be refused after the first.
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
