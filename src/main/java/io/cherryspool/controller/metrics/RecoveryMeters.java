package io.cherryspool.controller.metrics;

import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.SnapshotRepository;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.store.ClusterRecords;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.ToDoubleFunction;

/**
 * The meters of a node that detects losses of the state store's records, read when they are
 * exported.
 */
public final class RecoveryMeters implements MeterBinder {
  private final Recovery recovery;
  private final ClusterRecords records;
  private final SnapshotWriter snapshots;

  /**
   * Creates the recovery meters.
   *
   * @param snapshots the snapshot writer, null if no snapshots are taken
   */
  public RecoveryMeters(Recovery recovery, ClusterRecords records, SnapshotWriter snapshots) {
    this.recovery = recovery;
    this.records = records;
    this.snapshots = snapshots;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    bindGauge(registry, "serving", meters -> recovery.isServing() ? 1 : 0);
    bindGauge(
        registry,
        "incarnation",
        meters -> recovery.retainedRecords().position().incarnationNumber());
    bindGauge(registry, "revision", meters -> recovery.retainedRecords().position().revision());
    bindGauge(registry, "losses", meters -> recovery.statistics().losses());
    bindGauge(registry, "rebuilds", meters -> recovery.statistics().rebuilds());
    bindGauge(registry, "records.added", meters -> recovery.statistics().addedRecords());
    bindGauge(
        registry, "hold.seconds", meters -> recovery.statistics().lastHold().toMillis() / 1e3);
    bindGauge(registry, "jobs.held", meters -> records.heldJobs().size());
    bindGauge(registry, "jobs.unknown", meters -> records.unknownJobs().size());
    if (snapshots != null) {
      bindGauge(registry, "snapshot.age.seconds", meters -> snapshots.ageSeconds());
      bindGauge(
          registry,
          "snapshot.bytes",
          meters -> lastWriteValue(SnapshotRepository.WriteResult::bytes));
      bindGauge(
          registry,
          "snapshot.seconds",
          meters -> lastWriteValue(last -> last.durationNanos() / 1e9));
    }
  }

  private double lastWriteValue(ToDoubleFunction<SnapshotRepository.WriteResult> value) {
    SnapshotRepository.WriteResult last = snapshots.lastResult().orElse(null);
    return last == null ? 0 : value.applyAsDouble(last);
  }

  private void bindGauge(
      MeterRegistry registry, String name, ToDoubleFunction<RecoveryMeters> value) {
    Gauge.builder("cherryspool.recovery." + name, this, value).register(registry);
  }
}
