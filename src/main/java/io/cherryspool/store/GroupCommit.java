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
 * Commits the single changes of users' requests in shared transactions, one at a time and within
 * the write rate limit. A change that can't be committed soon is refused, so that its user can be
 * asked to retry later.
 *
 * <p>Used on the event loop.
 */
public final class GroupCommit {
  /** The most bytes that the changes of one transaction may take, by their estimated sizes. */
  private static final int MAX_TRANSACTION_BYTES = 60_000;

  /** What a change takes in a request besides its value and three times its key. */
  private static final int CHANGE_OVERHEAD_BYTES = 100;

  /** How long to wait before the rate limiter is asked again. */
  private static final Duration RATE_LIMIT_RETRY = Duration.ofMillis(20);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final int maxChanges;
  private final int maxQueueLength;
  private final Duration maxWait;
  private final Deque<PendingChange> cancels = new ArrayDeque<>();
  private final Deque<PendingChange> submissions = new ArrayDeque<>();
  private boolean isCommitting;
  private EventLoop.Timer rateLimitTimer;

  /** One user's change, and who waits for it. */
  private record PendingChange(
      Map<String, Long> conditions,
      StateStoreProtocol.Change change,
      int bytes,
      Duration queuedAt,
      CompletableFuture<Boolean> result) {}

  /**
   * Creates an empty queue.
   *
   * @param maxChanges the most changes in one transaction
   * @param maxQueueLength the most changes that may wait, for cancels and submissions each
   * @param maxWait how long a change may wait before it is refused
   */
  public GroupCommit(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      int maxChanges,
      int maxQueueLength,
      Duration maxWait) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.maxChanges = maxChanges;
    this.maxQueueLength = maxQueueLength;
    this.maxWait = maxWait;
  }

  /**
   * Queues a change.
   *
   * @param writeClass cancels are committed before all others
   * @param conditions as in {@link StateStoreClient#commit}; they include the version of the key
   *     that is changed, so that of two changes of it only one is applied
   * @return completes with whether the change was applied, false if a condition failed; fails with
   *     a {@link StateStoreException} if it was refused or its outcome is unknown
   */
  public CompletableFuture<Boolean> submit(
      RateLimiter.WriteClass writeClass,
      Map<String, Long> conditions,
      StateStoreProtocol.Change change) {
    Deque<PendingChange> queue =
        writeClass == RateLimiter.WriteClass.CANCEL ? cancels : submissions;
    if (queue.size() >= maxQueueLength) {
      return CompletableFuture.failedFuture(refused("too many changes wait"));
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    int bytes =
        Json.toBytes(change.value()).length + 3 * change.key().length() + CHANGE_OVERHEAD_BYTES;
    queue.add(new PendingChange(conditions, change, bytes, loop.now(), result));
    commitNext();
    return result;
  }

  /** How many users' changes wait. */
  public int queuedChanges() {
    return cancels.size() + submissions.size();
  }

  /** Commits the next group, unless a transaction is outstanding or the rate limit is reached. */
  private void commitNext() {
    if (isCommitting || rateLimitTimer != null) {
      return;
    }
    refuseExpired(cancels);
    refuseExpired(submissions);
    Deque<PendingChange> queue = cancels.isEmpty() ? submissions : cancels;
    if (queue.isEmpty()) {
      return;
    }
    List<PendingChange> group = acquireGroup(queue);
    if (group.isEmpty()) {
      rateLimitTimer = loop.schedule(RATE_LIMIT_RETRY, this::retry);
    } else {
      commit(queue, group, removeWithDuplicates(queue, group));
    }
  }

  private void retry() {
    rateLimitTimer = null;
    commitNext();
  }

  /** The first changes of the queue that fit one transaction, as many as the rate limit allows. */
  private List<PendingChange> acquireGroup(Deque<PendingChange> queue) {
    RateLimiter.WriteClass writeClass =
        queue == cancels ? RateLimiter.WriteClass.CANCEL : RateLimiter.WriteClass.SUBMIT;
    int limit = Math.min(maxChanges, rateLimiter.maxTransactionChanges(writeClass));
    List<PendingChange> group = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    for (PendingChange pending : queue) {
      if (keys.contains(pending.change.key())) {
        continue;
      }
      if (group.size() == limit
          || (!group.isEmpty() && bytes + pending.bytes > MAX_TRANSACTION_BYTES)) {
        break;
      }
      group.add(pending);
      keys.add(pending.change.key());
      bytes += pending.bytes;
    }
    while (!group.isEmpty() && !rateLimiter.tryAcquireWrites(writeClass, group.size())) {
      group.remove(group.size() - 1);
    }
    return group;
  }

  /**
   * Removes a group from its queue, and with it all later changes of the same keys. Such duplicates
   * share the result of the first one: a transaction for each of them would fail, and with it the
   * changes of all others in it.
   *
   * @return the duplicates
   */
  private static List<PendingChange> removeWithDuplicates(
      Deque<PendingChange> queue, List<PendingChange> group) {
    Set<String> keys = new HashSet<>();
    group.forEach(pending -> keys.add(pending.change.key()));
    List<PendingChange> duplicates = new ArrayList<>();
    queue.removeIf(
        pending -> {
          boolean isIncluded = keys.contains(pending.change.key());
          if (isIncluded && !group.contains(pending)) {
            duplicates.add(pending);
          }
          return isIncluded;
        });
    return duplicates;
  }

  private void commit(
      Deque<PendingChange> queue, List<PendingChange> group, List<PendingChange> duplicates) {
    isCommitting = true;
    Map<String, Long> conditions = new HashMap<>();
    List<StateStoreProtocol.Change> changes = new ArrayList<>();
    for (PendingChange pending : group) {
      conditions.putAll(pending.conditions);
      changes.add(pending.change);
    }
    client
        .commit(conditions, changes)
        .whenComplete(
            (answer, failure) -> {
              isCommitting = false;
              receive(queue, group, duplicates, answer, failure);
              commitNext();
            });
  }

  private void receive(
      Deque<PendingChange> queue,
      List<PendingChange> group,
      List<PendingChange> duplicates,
      StateStoreClient.CommitResult answer,
      Throwable failure) {
    List<PendingChange> all = new ArrayList<>(group);
    all.addAll(duplicates);
    if (failure != null
        && StateStoreException.kindOf(failure) == StateStoreException.Kind.RATE_LIMITED) {
      // The nodes' shares overlap, so that now and then they reach the limit together.
      rateLimiter.drain();
      requeue(queue, all);
    } else if (failure != null) {
      failAll(all, failure);
    } else if (answer.applied()) {
      group.forEach(pending -> pending.result.complete(true));
      duplicates.forEach(pending -> pending.result.complete(false));
    } else {
      retryOthers(queue, all, answer);
    }
  }

  /** One failed condition fails the whole transaction: the others are queued again without it. */
  private static void retryOthers(
      Deque<PendingChange> queue, List<PendingChange> all, StateStoreClient.CommitResult answer) {
    List<PendingChange> others = new ArrayList<>();
    List<PendingChange> failed = new ArrayList<>();
    for (PendingChange pending : all) {
      boolean isNamed = pending.conditions.keySet().stream().anyMatch(answer.failed()::contains);
      (isNamed ? failed : others).add(pending);
    }
    if (failed.isEmpty()) {
      // The same transaction would fail again and again, at the cost of all nodes' rate limit.
      failAll(
          all,
          new StateStoreException(
              StateStoreException.Kind.OUTCOME_UNKNOWN, "a conflict that names no condition"));
      return;
    }
    requeue(queue, others);
    failed.forEach(pending -> pending.result.complete(false));
  }

  /** Puts changes back in front of the queue, in their order. */
  private static void requeue(Deque<PendingChange> queue, List<PendingChange> changes) {
    for (int i = changes.size() - 1; i >= 0; i--) {
      queue.addFirst(changes.get(i));
    }
  }

  private void refuseExpired(Deque<PendingChange> queue) {
    Duration oldest = loop.now().minus(maxWait);
    while (!queue.isEmpty() && queue.peekFirst().queuedAt.compareTo(oldest) < 0) {
      queue.removeFirst().result.completeExceptionally(refused("the write rate limit is reached"));
    }
  }

  private static void failAll(List<PendingChange> changes, Throwable failure) {
    changes.forEach(pending -> pending.result.completeExceptionally(failure));
  }

  private static StateStoreException refused(String reason) {
    return new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, reason);
  }
}
