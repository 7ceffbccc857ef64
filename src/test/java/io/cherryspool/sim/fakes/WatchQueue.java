package io.cherryspool.sim.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cherryspool.http.Reply;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** The watches of a {@link FakeStateStore} that are waiting for an event. */
final class WatchQueue {
  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier isDown;
  private final List<Watch> pendingWatches = new ArrayList<>();

  private record Watch(long afterRevision, String prefix, CompletableFuture<Reply> reply) {}

  /**
   * Creates the watch queue.
   *
   * @param isDown whether the state store is down; no watch is completed while it is
   */
  WatchQueue(EventLoop loop, KeyValueStore store, BooleanSupplier isDown) {
    this.loop = loop;
    this.store = store;
    this.isDown = isDown;
  }

  /**
   * Returns a reply with the events after a revision, which completes once there is an event or the
   * waiting time is over.
   */
  CompletableFuture<Reply> watch(long afterRevision, String prefix, Duration maxWait) {
    Watch watch = new Watch(afterRevision, prefix, new CompletableFuture<>());
    if (maxWait.isZero() || hasEvents(watch)) {
      complete(watch);
    } else {
      pendingWatches.add(watch);
      loop.schedule(maxWait, () -> timeOut(watch));
    }
    return watch.reply;
  }

  private void timeOut(Watch watch) {
    if (!isDown.getAsBoolean() && pendingWatches.remove(watch)) {
      complete(watch);
    }
  }

  /** Completes the waiting watches for which there is an event now. */
  void completeReady() {
    if (isDown.getAsBoolean()) {
      return;
    }
    for (Watch watch : List.copyOf(pendingWatches)) {
      if (hasEvents(watch)) {
        pendingWatches.remove(watch);
        complete(watch);
      }
    }
  }

  private boolean hasEvents(Watch watch) {
    return !store.eventsAfter(watch.afterRevision, watch.prefix).isEmpty();
  }

  private void complete(Watch watch) {
    ObjectNode answer = Json.object().put("epoch", store.revision());
    answer.set("events", store.eventsAfter(watch.afterRevision, watch.prefix));
    watch.reply.complete(Reply.json(200, Json.toBytes(answer)));
  }
}
