package io.cherryspool.controller;

import io.cherryspool.recovery.Recovery;
import io.cherryspool.recovery.SnapshotWriter;
import io.cherryspool.recovery.Snapshots;
import io.cherryspool.store.ClusterRecords;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.ToDoubleFunction;

/** The meters of a node that looks for losses of its state. */
final class RecoveryMeters implements MeterBinder {
  private final Recovery recovery;
  private final ClusterRecords replica;
  private final SnapshotWriter snapshots;

  /**
   * @param snapshots null if none are taken
   */
  RecoveryMeters(Recovery recovery, ClusterRecords replica, SnapshotWriter snapshots) {
    this.recovery = recovery;
    this.replica = replica;
    this.snapshots = snapshots;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    gauge(registry, "serving", from -> recovery.serving() ? 1 : 0);
    gauge(registry, "incarnation", from -> recovery.memory().origin().incarnationNumber());
    gauge(registry, "revision", from -> recovery.memory().origin().revision());
    gauge(registry, "losses", from -> recovery.events().losses());
    gauge(registry, "rebuilds", from -> recovery.events().rebuilds());
    gauge(registry, "records.added", from -> recovery.events().added());
    gauge(registry, "hold.seconds", from -> recovery.events().lastHold().toMillis() / 1e3);
    gauge(registry, "jobs.held", from -> replica.heldJobs().size());
    gauge(registry, "jobs.unknown", from -> replica.unknownJobs().size());
    if (snapshots != null) {
      gauge(registry, "snapshot.age.seconds", from -> snapshots.ageSeconds());
      gauge(registry, "snapshot.bytes", from -> written(Snapshots.Written::bytes));
      gauge(registry, "snapshot.seconds", from -> written(last -> last.nanos() / 1e9));
    }
  }

  private double written(ToDoubleFunction<Snapshots.Written> figure) {
    Snapshots.Written last = snapshots.last();
    return last == null ? 0 : figure.applyAsDouble(last);
  }

  private void gauge(MeterRegistry registry, String name, ToDoubleFunction<RecoveryMeters> figure) {
    Gauge.builder("cherryspool.recovery." + name, this, figure).register(registry);
  }
}
