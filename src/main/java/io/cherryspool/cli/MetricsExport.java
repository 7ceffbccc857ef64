package io.cherryspool.cli;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;

/**
 * Exports a node's meters in the Prometheus text format. The registry is created at the first
 * scrape, so that its classes are not loaded during a node's start-up; until then the meters keep
 * their values themselves.
 */
final class MetricsExport {
  private final List<MeterBinder> meters = new ArrayList<>();
  private PrometheusMeterRegistry registry;

  /** Adds meters to the export. Has no effect after the first scrape. */
  void add(MeterBinder binder) {
    meters.add(binder);
  }

  /** Returns the current values in the Prometheus text format. Must be called on the event loop. */
  String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      meters.forEach(binder -> binder.bindTo(registry));
    }
    return registry.scrape();
  }
}
