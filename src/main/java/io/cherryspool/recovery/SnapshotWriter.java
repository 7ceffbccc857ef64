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
 * Takes a snapshot of the records now and then, while they can be relied on and have changed. The
 * picture is taken on the event loop, at the cost of what changed since the last one; it is written
 * by {@code background}, one at a time.
 */
public final class SnapshotWriter implements Lifecycle {
  private final EventLoop loop;
  private final ClusterRecords replica;
  private final BooleanSupplier serving;
  private final InstantSource clock;
  private final SnapshotRepository snapshots;
  private final Executor background;
  private final Duration interval;
  private volatile SnapshotRepository.WriteResult lastResult;
  private volatile boolean writing;
  private Incarnation.HistoryPosition written = Incarnation.HistoryPosition.NONE;
  private Duration writtenAt;
  private EventLoop.Timer timer;

  public SnapshotWriter(
      EventLoop loop,
      ClusterRecords replica,
      BooleanSupplier serving,
      InstantSource clock,
      SnapshotRepository snapshots,
      Executor background,
      Duration interval) {
    this.loop = loop;
    this.replica = replica;
    this.serving = serving;
    this.clock = clock;
    this.snapshots = snapshots;
    this.background = background;
    this.interval = interval;
  }

  @Override
  public void start() {
    timer = loop.schedule(interval, this::start);
    if (!serving.getAsBoolean() || writing) {
      return;
    }
    RecordsSnapshot picture = replica.snapshot();
    if (picture.position().equals(written)) {
      writtenAt = loop.now();
      return;
    }
    Instant now = clock.instant();
    writing = true;
    written = picture.position();
    writtenAt = loop.now();
    background.execute(
        () -> {
          lastResult = snapshots.write(picture, now);
          writing = false;
        });
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** What the last snapshot cost, empty before the first. */
  public Optional<SnapshotRepository.WriteResult> lastResult() {
    return Optional.ofNullable(lastResult);
  }

  /** How old what is kept is, in seconds; -1 before the first. */
  public double ageSeconds() {
    return writtenAt == null ? -1 : loop.now().minus(writtenAt).toMillis() / 1e3;
  }
}
