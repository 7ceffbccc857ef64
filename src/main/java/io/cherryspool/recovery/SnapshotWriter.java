package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.store.ClusterRecords;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.RecordsSnapshot;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Writes a snapshot of the records at a fixed interval if they can be relied on and have changed.
 * The snapshot is taken on the event loop, at a cost proportional to the changes since the previous
 * one. An executor writes the snapshots, one at a time.
 */
public final class SnapshotWriter implements Lifecycle {
  private final EventLoop loop;
  private final ClusterRecords replica;
  private final BooleanSupplier isServing;
  private final InstantSource clock;
  private final SnapshotRepository repository;
  private final Executor background;
  private final Duration interval;

  /** The result of the last write. Like {@link #isWriting}, it is set by {@code background}. */
  private volatile Optional<SnapshotRepository.WriteResult> lastResult = Optional.empty();

  private volatile boolean isWriting;
  private Incarnation.HistoryPosition writtenPosition = Incarnation.HistoryPosition.NONE;
  private Optional<Duration> checkedAt = Optional.empty();
  private Optional<EventLoop.Timer> timer = Optional.empty();

  /**
   * Creates a writer that begins with {@link #start}.
   *
   * @param isServing whether the records of the replica can be relied on
   * @param background runs the writes, which may block
   */
  public SnapshotWriter(
      EventLoop loop,
      ClusterRecords replica,
      BooleanSupplier isServing,
      InstantSource clock,
      SnapshotRepository repository,
      Executor background,
      Duration interval) {
    this.loop = loop;
    this.replica = replica;
    this.isServing = isServing;
    this.clock = clock;
    this.repository = repository;
    this.background = background;
    this.interval = interval;
  }

  @Override
  public void start() {
    timer = Optional.of(loop.schedule(interval, this::start));
    if (isServing.getAsBoolean() && !isWriting) {
      writeIfChanged(replica.snapshot());
    }
  }

  @Override
  public void stop() {
    timer.ifPresent(EventLoop.Timer::cancel);
  }

  private void writeIfChanged(RecordsSnapshot records) {
    checkedAt = Optional.of(loop.now());
    if (records.position().equals(writtenPosition)) {
      return;
    }
    Instant takenAt = clock.instant();
    isWriting = true;
    writtenPosition = records.position();
    background.execute(
        () -> {
          lastResult = Optional.of(repository.write(records, takenAt));
          isWriting = false;
        });
  }

  /** The result of the last write, empty before the first one. May be called from any thread. */
  public Optional<SnapshotRepository.WriteResult> lastResult() {
    return lastResult;
  }

  /**
   * The time in seconds since the records were last written or found to be unchanged; a write that
   * fails counts too. It is -1 before the first write. Must be called on the event loop.
   */
  public double ageSeconds() {
    return checkedAt.map(at -> loop.now().minus(at).toMillis() / 1e3).orElse(-1.0);
  }
}
