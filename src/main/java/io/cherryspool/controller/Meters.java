package io.cherryspool.controller;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

/** What a node counts while it runs, whoever leads; one counter for each guard of the rules. */
final class Meters implements MeterBinder {
  /** Rounds that changed records. */
  final EventCount rounds = new EventCount();

  /** Rounds for which a placement was computed, whatever came of it. */
  final EventCount planned = new EventCount();

  /** Tasks taken back since their machine's lease ran out, or it is gone. */
  final EventCount lapses = new EventCount();

  /** Tasks that failed by themselves. */
  final EventCount failures = new EventCount();

  /** Tasks stopped for other work. */
  final EventCount stops = new EventCount();

  /** Reports that were not this node's to answer. */
  final EventCount redirected = new EventCount();

  /** Users' requests that were passed on to another node. */
  final EventCount forwarded = new EventCount();

  /** Users' requests that could not be served now. */
  final EventCount refused = new EventCount();

  @Override
  public void bindTo(MeterRegistry registry) {
    rounds.bindTo(registry, "cherryspool.rounds");
    planned.bindTo(registry, "cherryspool.rounds.planned");
    lapses.bindTo(registry, "cherryspool.lapses");
    failures.bindTo(registry, "cherryspool.failures");
    stops.bindTo(registry, "cherryspool.stops");
    redirected.bindTo(registry, "cherryspool.reports.redirected");
    forwarded.bindTo(registry, "cherryspool.requests.forwarded");
    refused.bindTo(registry, "cherryspool.requests.refused");
  }
}
