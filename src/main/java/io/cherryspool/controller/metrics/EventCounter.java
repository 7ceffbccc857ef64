package io.cherryspool.controller.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * A counter that is incremented on the event loop. The total is kept here and not by a meter
 * registry, so that a registry that is created when metrics are first requested shows all events
 * since the start of the node.
 */
public final class EventCounter {
  private long total;

  /** Counts one event. */
  public void increment() {
    add(1);
  }

  /** Adds the number of events to the count. */
  public void add(long events) {
    total += events;
  }

  /** Registers the counter with the registry under this name. */
  void bindTo(MeterRegistry registry, String name) {
    FunctionCounter.builder(name, this, counter -> counter.total).register(registry);
  }
}
