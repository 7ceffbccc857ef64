package io.cherryspool.controller.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;

/**
 * The counters of a node, kept whether or not it leads. Each counter is incremented where the event
 * occurs, on the event loop.
 */
public final class Meters implements MeterBinder {
  /** Rounds that changed records. */
  public final EventCounter committedRounds = new EventCounter();

  /** Rounds for which a placement was computed, whether or not it was committed. */
  public final EventCounter plannedRounds = new EventCounter();

  /**
   * Tasks released because their worker's lease expired, or because their machine was deleted or
   * restarted.
   */
  public final EventCounter lostTasks = new EventCounter();

  /** The lost tasks by the proof of their loss. */
  public final LostTasks lostTasksByProof = new LostTasks();

  /** Tasks that failed by themselves. */
  public final EventCounter taskFailures = new EventCounter();

  /** Tasks stopped to make room for others by preemption. */
  public final EventCounter preemptions = new EventCounter();

  /** Tasks that the last plan left without a machine; zero on nodes that do not lead. */
  public final HeldTasks heldTasks = new HeldTasks();

  /** Heartbeats that this node did not handle because it was not the leader. */
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
    lostTasksByProof.bindTo(registry);
    taskFailures.bindTo(registry, "cherryspool.failures");
    preemptions.bindTo(registry, "cherryspool.stops");
    heldTasks.bindTo(registry);
    redirectedHeartbeats.bindTo(registry, "cherryspool.reports.redirected");
    forwardedRequests.bindTo(registry, "cherryspool.requests.forwarded");
    refusedRequests.bindTo(registry, "cherryspool.requests.refused");
  }
}
