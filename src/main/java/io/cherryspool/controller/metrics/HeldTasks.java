package io.cherryspool.controller.metrics;

import io.cherryspool.scheduler.HoldCause;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.Map;

/** The pending tasks that the leader's last plan left without a machine, by cause. */
public final class HeldTasks implements MeterBinder {
  private Map<HoldCause, Integer> counts = Map.of();

  /** Shows the counts of a plan in place of those of the one before. */
  public void set(Map<HoldCause, Integer> countByCause) {
    counts = countByCause;
  }

  /** Shows zero for each cause, since this node plans no more. */
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
