package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.Json;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Puts the single changes that users' requests make into shared transactions, within the write rate
 * limit. A change that can't be taken is refused at once, so that its user can be told when to come
 * back.
 */
public final class GroupCommit {
  private static final int MAX_BYTES = 60_000;
  private static final Duration PAUSE = Duration.ofMillis(20);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final int maxChanges;
  private final int maxQueue;
  private final Duration patience;
  private final Deque<Item> cancels = new ArrayDeque<>();
  private final Deque<Item> submissions = new ArrayDeque<>();
  private boolean busy;
  private EventLoop.Timer timer;

  /** One user's change. */
  private record Item(
      Map<String, Long> conditions,
      StateStoreProtocol.Change change,
      int bytes,
      Duration since,
      CompletableFuture<Boolean> result) {}

  public GroupCommit(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      int maxChanges,
      int maxQueue,
      Duration patience) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.maxChanges = maxChanges;
    this.maxQueue = maxQueue;
    this.patience = patience;
  }

  /**
   * Completes with whether the change was applied, false if a condition failed. The conditions
   * include the version of the key that is changed, so that of two changes of it one is applied.
   */
  public CompletableFuture<Boolean> submit(
      RateLimiter.WriteClass use, Map<String, Long> conditions, StateStoreProtocol.Change change) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    Deque<Item> queue = use == RateLimiter.WriteClass.CANCEL ? cancels : submissions;
    if (queue.size() >= maxQueue) {
      result.completeExceptionally(refused("too many changes wait"));
      return result;
    }
    int bytes = Json.toBytes(change.value()).length + 3 * change.key().length() + 100;
    queue.add(new Item(conditions, change, bytes, loop.now(), result));
    pump();
    return result;
  }

  /** How many users' changes wait. */
  public int queuedChanges() {
    return cancels.size() + submissions.size();
  }

  private void pump() {
    if (busy || timer != null) {
      return;
    }
    expire(cancels);
    expire(submissions);
    Deque<Item> queue = cancels.isEmpty() ? submissions : cancels;
    if (queue.isEmpty()) {
      return;
    }
    RateLimiter.WriteClass use =
        queue == cancels ? RateLimiter.WriteClass.CANCEL : RateLimiter.WriteClass.SUBMIT;
    List<Item> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    int limit = Math.min(maxChanges, rateLimiter.maxTransactionChanges(use));
    for (Item item : queue) {
      if (keys.contains(item.change.key())) {
        continue;
      }
      if (batch.size() == limit || !batch.isEmpty() && bytes + item.bytes > MAX_BYTES) {
        break;
      }
      batch.add(item);
      keys.add(item.change.key());
      bytes += item.bytes;
    }
    while (!batch.isEmpty() && !rateLimiter.tryAcquireWrites(use, batch.size())) {
      keys.remove(batch.remove(batch.size() - 1).change.key());
    }
    if (batch.isEmpty()) {
      timer = loop.schedule(PAUSE, this::resume);
      return;
    }
    // A request repeated in a hurry shares the fate of the first: one transaction for each of them
    // would fail, and everybody else's change with it.
    List<Item> twins = new ArrayList<>();
    queue.removeIf(
        item -> {
          boolean goes = keys.contains(item.change.key());
          if (goes && !batch.contains(item)) {
            twins.add(item);
          }
          return goes;
        });
    send(queue, batch, twins);
  }

  private void resume() {
    timer = null;
    pump();
  }

  private void send(Deque<Item> queue, List<Item> batch, List<Item> twins) {
    busy = true;
    Map<String, Long> conditions = new HashMap<>();
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    for (Item item : batch) {
      conditions.putAll(item.conditions);
      changes.add(item.change);
    }
    List<Item> all = new ArrayList<>(batch);
    all.addAll(twins);
    client
        .commit(conditions, changes)
        .whenComplete(
            (outcome, failure) -> {
              busy = false;
              if (failure != null
                  && StateStoreException.kindOf(failure) == StateStoreException.Kind.RATE_LIMITED) {
                // The nodes' shares overlap, so that now and then they meet the limit together.
                rateLimiter.drain();
                again(queue, all);
              } else if (failure != null) {
                all.forEach(item -> item.result.completeExceptionally(failure));
              } else if (outcome.applied()) {
                batch.forEach(item -> item.result.complete(true));
                twins.forEach(item -> item.result.complete(false));
              } else {
                retryOthers(queue, all, outcome);
              }
              pump();
            });
  }

  /** One failed condition fails the whole transaction; the others go again without it. */
  private static void retryOthers(
      Deque<Item> queue, List<Item> all, StateStoreClient.CommitResult outcome) {
    List<Item> others = new ArrayList<>();
    List<Item> failed = new ArrayList<>();
    for (Item item : all) {
      boolean named = item.conditions.keySet().stream().anyMatch(outcome.failed()::contains);
      (named ? failed : others).add(item);
    }
    if (failed.isEmpty()) {
      // Sent again unchanged it would fail again, over and over, at the cost of all nodes' rate
      // limit.
      StateStoreException unclear =
          new StateStoreException(
              StateStoreException.Kind.OUTCOME_UNKNOWN, "a conflict that names no condition");
      all.forEach(item -> item.result.completeExceptionally(unclear));
      return;
    }
    again(queue, others);
    failed.forEach(item -> item.result.complete(false));
  }

  private static void again(Deque<Item> queue, List<Item> items) {
    for (int i = items.size() - 1; i >= 0; i--) {
      queue.addFirst(items.get(i));
    }
  }

  private void expire(Deque<Item> queue) {
    Duration limit = loop.now().minus(patience);
    while (!queue.isEmpty() && queue.peekFirst().since.compareTo(limit) < 0) {
      queue.removeFirst().result.completeExceptionally(refused("the write rate limit is spent"));
    }
  }

  private static StateStoreException refused(String why) {
    return new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, why);
  }
}
