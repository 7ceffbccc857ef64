package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Linearizable reads: brings a {@link Replica} up to date with everything that was committed before
 * a call. Waiting callers share one request, which is sent after all of their calls. One read is
 * outstanding at a time.
 */
final class LinearizableReads {
  private static final String SUSPENDED =
      "the replica was suspended because its records can't be relied on";

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;
  private final IncarnationHistory history;
  private final Duration minInterval;
  private final Duration overdueAfter;

  private List<CompletableFuture<Void>> waitingCallers = new ArrayList<>();
  private EventLoop.Timer nextReadTimer;
  private Duration lastSentAt;

  /** The time at which the outstanding read was sent, null if there is none. */
  private Duration outstandingSince;

  /** The time at which the last successful read was sent, null before the first one. */
  private Duration lastConfirmedAt;

  /**
   * A read that was sent.
   *
   * @param afterRevision the replica's revision when the read was sent
   * @param generation the replica's generation when the read was sent
   * @param expected the change that the answer must contain, null if there is none
   */
  private record OutstandingRead(
      List<CompletableFuture<Void>> callers,
      Duration sentAt,
      long afterRevision,
      int generation,
      LastChange expected) {}

  /**
   * Creates an instance whose reads update {@code replica}.
   *
   * @param minInterval the minimum time between the sending of two reads
   * @param overdueAfter how long a read may be unanswered before new calls fail immediately
   */
  LinearizableReads(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      Replica replica,
      IncarnationHistory history,
      Duration minInterval,
      Duration overdueAfter) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
    this.history = history;
    this.minInterval = minInterval;
    this.overdueAfter = overdueAfter;
    this.lastSentAt = loop.now().minus(minInterval);
  }

  /** Implements {@link ClusterRecords#refresh}. */
  CompletableFuture<Void> refresh() {
    if (!replica.isLoaded() || isOverdue()) {
      return CompletableFuture.failedFuture(
          notExecuted("the records are not loaded, or a read of the state store is overdue"));
    }
    CompletableFuture<Void> result = new CompletableFuture<>();
    waitingCallers.add(result);
    scheduleRead();
    return result;
  }

  /** Implements {@link ClusterRecords#isReadOverdue}. */
  boolean isOverdue() {
    return outstandingSince != null
        && loop.now().minus(outstandingSince).compareTo(overdueAfter) > 0;
  }

  /** Implements {@link ClusterRecords#lastConfirmedAt}. */
  Duration lastConfirmedAt() {
    return lastConfirmedAt;
  }

  /**
   * Records that a read which was sent at this time has succeeded. Has no effect if a read that was
   * sent later has already succeeded: the answer to a read may arrive after a reload that was
   * started later than the read.
   */
  void confirm(Duration sentAt) {
    if (lastConfirmedAt == null || sentAt.compareTo(lastConfirmedAt) > 0) {
      lastConfirmedAt = sentAt;
    }
  }

  /** Fails the callers whose read has not been sent yet. */
  void failWaiting(String reason) {
    List<CompletableFuture<Void>> callers = waitingCallers;
    waitingCallers = new ArrayList<>();
    failAll(callers, notExecuted(reason));
  }

  /** Fails the waiting callers and cancels their read. */
  void stop(String reason) {
    if (nextReadTimer != null) {
      nextReadTimer.cancel();
    }
    failWaiting(reason);
  }

  /** Fails the waiting callers and resets the state, so that the next incarnation can be read. */
  void suspend() {
    outstandingSince = null;
    stop(SUSPENDED);
    nextReadTimer = null;
  }

  private void scheduleRead() {
    if (outstandingSince != null || nextReadTimer != null || waitingCallers.isEmpty()) {
      return;
    }
    Duration wait = lastSentAt.plus(minInterval).minus(loop.now());
    if (wait.isNegative() || wait.isZero()) {
      read();
    } else {
      nextReadTimer = loop.schedule(wait, this::read);
    }
  }

  private void read() {
    nextReadTimer = null;
    if (!rateLimiter.tryAcquireRead()) {
      nextReadTimer = loop.schedule(minInterval, this::read);
      return;
    }
    long after = replica.revision();
    LastChange expected = history.lastChange();
    OutstandingRead read =
        new OutstandingRead(waitingCallers, loop.now(), after, replica.generation(), expected);
    waitingCallers = new ArrayList<>();
    outstandingSince = read.sentAt;
    lastSentAt = read.sentAt;
    client
        .readChanges(
            Records.PREFIX,
            expected == null ? after : expected.revisionToReadAfter(after),
            Duration.ZERO)
        .whenComplete((changes, failure) -> receive(read, changes, failure));
  }

  private void receive(
      OutstandingRead read, StateStoreProtocol.WatchResult changes, Throwable failure) {
    if (read.generation != replica.generation()) {
      failAll(read.callers, suspensionFailure());
      return;
    }
    outstandingSince = null;
    if (failure == null) {
      receive(read, changes);
    } else {
      // If the replica's revision was compacted, this call makes the replica not loaded. It
      // precedes the failure of the callers, so that they see that state.
      replica.handleReadFailure(failure, read.afterRevision);
      failAll(read.callers, failure);
      failWaiting("the previous read of the state store failed");
    }
  }

  private void receive(OutstandingRead read, StateStoreProtocol.WatchResult changes) {
    if (history.verifyContains(read.expected, changes)) {
      replica.apply(changes);
    }
    if (read.generation != replica.generation()) {
      failAll(read.callers, suspensionFailure());
      return;
    }
    confirm(read.sentAt);
    read.callers.forEach(caller -> caller.complete(null));
    scheduleRead();
  }

  private static void failAll(List<CompletableFuture<Void>> callers, Throwable failure) {
    callers.forEach(caller -> caller.completeExceptionally(failure));
  }

  private static StateStoreException suspensionFailure() {
    return notExecuted(SUSPENDED);
  }

  private static StateStoreException notExecuted(String reason) {
    return new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, reason);
  }
}
