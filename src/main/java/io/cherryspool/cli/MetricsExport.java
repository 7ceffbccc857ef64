package io.cherryspool.cli;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;

/**
 * A node's meters as Prometheus text. The registry is made when the metrics are first asked for,
 * since a starting node on a small processor has no time for it; meters keep their own values.
 */
final class MetricsExport {
  private final List<MeterBinder> meters = new ArrayList<>();
  private PrometheusMeterRegistry registry;

  /** Called before the metrics are first asked for. */
  void add(MeterBinder binder) {
    meters.add(binder);
  }

  /** The present values in the Prometheus text format. Called on the event loop only. */
  String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      meters.forEach(binder -> binder.bindTo(registry));
    }
    return registry.scrape();
  }
}
