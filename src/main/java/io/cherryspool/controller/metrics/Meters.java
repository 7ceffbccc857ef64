package io.cherryspool.controller.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

/**
 * What a node counts while it runs, whoever leads. Each counter is raised where the event occurs,
 * on the event loop.
 */
public final class Meters implements MeterBinder {
  /** Rounds that changed records. */
  public final EventCounter committedRounds = new EventCounter();

  /** Rounds for which a placement was computed, whatever came of it. */
  public final EventCounter plannedRounds = new EventCounter();

  /**
   * Tasks released since their worker's lease expired, or their machine is deleted or restarted.
   */
  public final EventCounter lostTasks = new EventCounter();

  /** Tasks that failed by themselves. */
  public final EventCounter taskFailures = new EventCounter();

  /** Tasks stopped as victims of a preemption. */
  public final EventCounter preemptions = new EventCounter();

  /** What the last plan left without a machine; zero on nodes that do not lead. */
  public final HeldTasks heldTasks = new HeldTasks();

  /** Heartbeats that were not this node's to answer. */
  public final EventCounter redirectedHeartbeats = new EventCounter();

  /** Users' requests that were forwarded to another node. */
  public final EventCounter forwardedRequests = new EventCounter();

  /** Users' requests that could not be served now. */
  public final EventCounter refusedRequests = new EventCounter();

  @Override
  public void bindTo(MeterRegistry registry) {
    committedRounds.bindTo(registry, "cherryspool.rounds");
    plannedRounds.bindTo(registry, "cherryspool.rounds.planned");
    lostTasks.bindTo(registry, "cherryspool.lapses");
    taskFailures.bindTo(registry, "cherryspool.failures");
    preemptions.bindTo(registry, "cherryspool.stops");
    heldTasks.bindTo(registry);
    redirectedHeartbeats.bindTo(registry, "cherryspool.reports.redirected");
    forwardedRequests.bindTo(registry, "cherryspool.requests.forwarded");
    refusedRequests.bindTo(registry, "cherryspool.requests.refused");
  }
}
