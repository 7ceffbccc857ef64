package io.cherryspool.controller.metrics;

import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.SnapshotRepository;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.store.ClusterRecords;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.ToDoubleFunction;

/** The meters of a node that looks for losses of its state. */
public final class RecoveryMeters implements MeterBinder {
  private final Recovery recovery;
  private final ClusterRecords replica;
  private final SnapshotWriter snapshots;

  /**
   * @param snapshots null if none are taken
   */
  public RecoveryMeters(Recovery recovery, ClusterRecords replica, SnapshotWriter snapshots) {
    this.recovery = recovery;
    this.replica = replica;
    this.snapshots = snapshots;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    gauge(registry, "serving", from -> recovery.isServing() ? 1 : 0);
    gauge(
        registry, "incarnation", from -> recovery.retainedRecords().position().incarnationNumber());
    gauge(registry, "revision", from -> recovery.retainedRecords().position().revision());
    gauge(registry, "losses", from -> recovery.statistics().losses());
    gauge(registry, "rebuilds", from -> recovery.statistics().rebuilds());
    gauge(registry, "records.added", from -> recovery.statistics().addedRecords());
    gauge(registry, "hold.seconds", from -> recovery.statistics().lastHold().toMillis() / 1e3);
    gauge(registry, "jobs.held", from -> replica.heldJobs().size());
    gauge(registry, "jobs.unknown", from -> replica.unknownJobs().size());
    if (snapshots != null) {
      gauge(registry, "snapshot.age.seconds", from -> snapshots.ageSeconds());
      gauge(registry, "snapshot.bytes", from -> written(SnapshotRepository.WriteResult::bytes));
      gauge(registry, "snapshot.seconds", from -> written(last -> last.durationNanos() / 1e9));
    }
  }

  private double written(ToDoubleFunction<SnapshotRepository.WriteResult> figure) {
    SnapshotRepository.WriteResult last = snapshots.lastResult().orElse(null);
    return last == null ? 0 : figure.applyAsDouble(last);
  }

  private void gauge(MeterRegistry registry, String name, ToDoubleFunction<RecoveryMeters> figure) {
    Gauge.builder("cherryspool.recovery." + name, this, figure).register(registry);
  }
}
