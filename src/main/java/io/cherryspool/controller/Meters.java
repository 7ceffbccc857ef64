package io.cherryspool.controller;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** What a node counts while it runs, whoever leads; one counter for each guard of the rules. */
final class Meters {
  /** Rounds that changed records. */
  final Counter rounds;

  /** Tasks taken back since their machine's lease ran out, or it is gone. */
  final Counter lapses;

  /** Tasks that failed by themselves. */
  final Counter failures;

  /** Tasks stopped for other work. */
  final Counter stops;

  /** Reports that were not this node's to answer. */
  final Counter redirected;

  /** Users' requests that could not be served now. */
  final Counter refused;

  Meters(MeterRegistry registry) {
    rounds = registry.counter("cherryspool.rounds");
    lapses = registry.counter("cherryspool.lapses");
    failures = registry.counter("cherryspool.failures");
    stops = registry.counter("cherryspool.stops");
    redirected = registry.counter("cherryspool.reports.redirected");
    refused = registry.counter("cherryspool.requests.refused");
  }
}
