package io.cherryspool.cli;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes a node's meters as Prometheus text. The registry is made at the first scrape, to keep its
 * classes out of a node's start-up; meters keep their own values until then.
 */
final class MetricsExport {
  private final List<MeterBinder> meters = new ArrayList<>();
  private PrometheusMeterRegistry registry;

  /** Adds meters. Has no effect after the first scrape. */
  void add(MeterBinder binder) {
    meters.add(binder);
  }

  /** The current values in the Prometheus text format. Called on the event loop only. */
  String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      meters.forEach(binder -> binder.bindTo(registry));
    }
    return registry.scrape();
  }
}
