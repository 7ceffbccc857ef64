package io.cherryspool.controller.metrics;

import io.cherryspool.scheduler.HoldCause;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.Map;

/** Gauges of the pending tasks that the leader's last plan left without a machine, by cause. */
public final class HeldTasks implements MeterBinder {
  private Map<HoldCause, Integer> counts = Map.of();

  /** Replaces the counts by those of a new plan. */
  public void set(Map<HoldCause, Integer> countByCause) {
    counts = countByCause;
  }

  /** Sets all counts to zero, since this node no longer leads. */
  public void clear() {
    counts = Map.of();
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    for (HoldCause cause : HoldCause.values()) {
      Gauge.builder("cherryspool.tasks.held", this, held -> held.counts.getOrDefault(cause, 0))
          .tag("cause", cause.label())
          .register(registry);
    }
  }
}
