package io.cherryspool.controller.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counts events on the event loop. The number is kept here and not by a registry, so that a
 * registry that is made when metrics are first asked for shows all events since the start.
 */
public final class EventCounter {
  private long total;

  /** Counts one event. */
  public void increment() {
    add(1);
  }

  /** Counts so many events. */
  public void add(long events) {
    total += events;
  }

  /** Makes the registry read the count under this name. */
  void bindTo(MeterRegistry registry, String name) {
    FunctionCounter.builder(name, this, counter -> counter.total).register(registry);
  }
}
