package io.cherryspool.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.FunctionCounter;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Checks that a scrape exports the current values of meters, including values recorded before the
 * first scrape.
 */
class MetricsExportTest {
  @Test
  void exportsValuesRecordedBeforeTheFirstScrape() {
    AtomicLong events = new AtomicLong();
    MetricsExport metrics = new MetricsExport();
    metrics.add(
        registry ->
            FunctionCounter.builder("events", events, AtomicLong::doubleValue).register(registry));
    events.set(3);
    assertTrue(metrics.scrape().contains("\nevents_total 3.0\n"), metrics.scrape());
    events.set(5);
    assertTrue(metrics.scrape().contains("\nevents_total 5.0\n"), metrics.scrape());
  }
}
