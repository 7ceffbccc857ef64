package io.cherryspool.controller.metrics;

import io.cherryspool.model.LossProof;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

/**
 * Counters of the tasks that were released because they were lost with their machines, by proof.
 */
public final class LostTasks implements MeterBinder {
  private final long[] totals = new long[LossProof.values().length];

  /** Counts one lost task. */
  public void increment(LossProof proof) {
    totals[proof.ordinal()]++;
  }

  private long total(LossProof proof) {
    return totals[proof.ordinal()];
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    for (LossProof proof : LossProof.values()) {
      FunctionCounter.builder("cherryspool.tasks.lost", this, lost -> lost.total(proof))
          .tag("proof", proof.label())
          .register(registry);
    }
  }
}
