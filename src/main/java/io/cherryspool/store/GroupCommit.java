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
 * Commits the changes of users' requests in batches; each request has one change. One transaction
 * is outstanding at a time, and batches stay within the write rate limit. A change that can't be
 * committed soon is rejected, so that its user can be asked to retry later.
 *
 * <p>Must be used on the event loop.
 */
public final class GroupCommit {
  /** The maximum estimated size of the changes of one transaction. */
  private static final int MAX_TRANSACTION_BYTES = 60_000;

  /**
   * A change takes about this size in a request, plus the size of its value and three times the
   * size of its key.
   */
  private static final int CHANGE_OVERHEAD_BYTES = 100;

  /** Delay before the next attempt to commit after the rate limit was reached. */
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

  /** A queued change of one user, with the future to complete. */
  private record PendingChange(
      Map<String, Long> conditions,
      StateStoreProtocol.Change change,
      int bytes,
      Duration queuedAt,
      CompletableFuture<Boolean> result) {}

  /**
   * Creates an empty queue.
   *
   * @param maxChanges the maximum number of changes in one transaction
   * @param maxQueueLength the maximum length of each of the two queues, for cancels and submissions
   * @param maxWait how long a change may wait before it is rejected
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
   * @param writeClass changes of class {@code CANCEL} are committed before all others
   * @param conditions as in {@link StateStoreClient#commit}. They must include the version of the
   *     changed key, so that only one of two concurrent changes of the key is applied.
   * @return a future that completes with true if the change was applied and with false if a
   *     condition failed, and fails with a {@link StateStoreException} if the change was rejected
   *     or its outcome is unknown
   */
  public CompletableFuture<Boolean> submit(
      RateLimiter.WriteClass writeClass,
      Map<String, Long> conditions,
      StateStoreProtocol.Change change) {
    Deque<PendingChange> queue =
        writeClass == RateLimiter.WriteClass.CANCEL ? cancels : submissions;
    if (queue.size() >= maxQueueLength) {
      return CompletableFuture.failedFuture(
          refusal("the queue is full: " + maxQueueLength + " changes are waiting"));
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    int bytes =
        Json.toBytes(change.value()).length + 3 * change.key().length() + CHANGE_OVERHEAD_BYTES;
    queue.add(new PendingChange(conditions, change, bytes, loop.now(), result));
    commitNext();
    return result;
  }

  /** The number of changes that are waiting to be committed. */
  public int queuedChanges() {
    return cancels.size() + submissions.size();
  }

  /** Commits the next batch, unless a transaction is outstanding or the rate limit is reached. */
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

  /**
   * Returns the first changes of the queue that fit into one transaction, as many as the rate limit
   * allows.
   */
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
   * Removes a batch from its queue together with all later changes of the same keys. The conditions
   * of such a duplicate would fail after the first change of its key, and would fail all other
   * changes of its transaction. Duplicates are therefore not sent; their results depend on the
   * result of the batch.
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
    List<PendingChange> groupAndDuplicates = new ArrayList<>(group);
    groupAndDuplicates.addAll(duplicates);
    if (failure != null
        && StateStoreException.kindOf(failure) == StateStoreException.Kind.RATE_LIMITED) {
      // The nodes' shares of the limit overlap, so the nodes together may exceed it.
      rateLimiter.drain();
      requeue(queue, groupAndDuplicates);
    } else if (failure != null) {
      failAll(groupAndDuplicates, failure);
    } else if (answer.isApplied()) {
      group.forEach(pending -> pending.result.complete(true));
      duplicates.forEach(pending -> pending.result.complete(false));
    } else {
      retryOthers(queue, groupAndDuplicates, answer);
    }
  }

  /**
   * Queues again all changes whose conditions did not fail. One failed condition fails the whole
   * transaction.
   */
  private static void retryOthers(
      Deque<PendingChange> queue,
      List<PendingChange> groupAndDuplicates,
      StateStoreClient.CommitResult answer) {
    List<PendingChange> others = new ArrayList<>();
    List<PendingChange> failed = new ArrayList<>();
    for (PendingChange pending : groupAndDuplicates) {
      boolean hasFailedCondition =
          pending.conditions.keySet().stream().anyMatch(answer.failedKeys()::contains);
      (hasFailedCondition ? failed : others).add(pending);
    }
    if (failed.isEmpty()) {
      // Retrying the same transaction could fail forever and would use up the rate limit of all
      // nodes.
      failAll(
          groupAndDuplicates,
          new StateStoreException(
              StateStoreException.Kind.OUTCOME_UNKNOWN,
              "the state store reported a conflict, but none of its failed keys is a condition of the transaction: "
                  + answer.failedKeys()));
      return;
    }
    requeue(queue, others);
    failed.forEach(pending -> pending.result.complete(false));
  }

  /** Puts changes back at the head of the queue in their original order. */
  private static void requeue(Deque<PendingChange> queue, List<PendingChange> changes) {
    for (int i = changes.size() - 1; i >= 0; i--) {
      queue.addFirst(changes.get(i));
    }
  }

  private void refuseExpired(Deque<PendingChange> queue) {
    Duration cutoff = loop.now().minus(maxWait);
    while (!queue.isEmpty() && queue.peekFirst().queuedAt.compareTo(cutoff) < 0) {
      queue
          .removeFirst()
          .result
          .completeExceptionally(
              refusal(
                  "the change has waited longer than "
                      + maxWait.toMillis()
                      + " ms for the write rate limit"));
    }
  }

  private static void failAll(List<PendingChange> changes, Throwable failure) {
    changes.forEach(pending -> pending.result.completeExceptionally(failure));
  }

  private static StateStoreException refusal(String reason) {
    return new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, reason);
  }
}
