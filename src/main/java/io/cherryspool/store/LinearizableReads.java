package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Linearizable reads: brings a {@link Replica} up to date with everything that was committed before
 * a caller asked. Callers that wait at the same time share one request, which is sent after the
 * last of them asked; one read is outstanding at a time.
 */
final class LinearizableReads {
  private static final String SUSPENDED = "the records are not to be relied on";

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;
  private final IncarnationHistory history;
  private final Duration minInterval;
  private final Duration overdueAfter;

  private List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private EventLoop.Timer nextRead;
  private Duration lastSentAt;

  /** When the outstanding read was sent, null while there is none. */
  private Duration outstandingSince;

  /** When the last successful read was sent, null before the first. */
  private Duration lastConfirmedAt;

  /**
   * A read that was sent.
   *
   * @param afterRevision the replica's revision at that moment
   * @param generation the replica's generation at that moment
   * @param expected the change that the answer must show, null for none
   */
  private record Read(
      List<CompletableFuture<Void>> callers,
      Duration sentAt,
      long afterRevision,
      int generation,
      LastChange expected) {}

  /**
   * Creates reads that apply their answers to a replica.
   *
   * @param minInterval the least time between the sending of two reads
   * @param overdueAfter how long a read may be unanswered before callers are refused at once
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

  /** See {@link ClusterRecords#refresh}. */
  CompletableFuture<Void> refresh() {
    if (!replica.isLoaded() || isOverdue()) {
      return CompletableFuture.failedFuture(notExecuted("the state store does not answer"));
    }
    CompletableFuture<Void> result = new CompletableFuture<>();
    waiting.add(result);
    scheduleRead();
    return result;
  }

  /** See {@link ClusterRecords#isReadOverdue}. */
  boolean isOverdue() {
    return outstandingSince != null
        && loop.now().minus(outstandingSince).compareTo(overdueAfter) > 0;
  }

  /** See {@link ClusterRecords#lastConfirmedAt}. */
  Duration lastConfirmedAt() {
    return lastConfirmedAt;
  }

  /**
   * A read succeeded that was sent at this moment. It may return after a reload that was begun
   * later, which does not make the copy newer.
   */
  void confirm(Duration sentAt) {
    if (lastConfirmedAt == null || sentAt.compareTo(lastConfirmedAt) > 0) {
      lastConfirmedAt = sentAt;
    }
  }

  /** Fails the callers whose read has not been sent. */
  void failWaiting(String reason) {
    List<CompletableFuture<Void>> callers = waiting;
    waiting = new ArrayList<>();
    failAll(callers, notExecuted(reason));
  }

  /** Fails the waiting callers, and begins no read for them. */
  void stop(String reason) {
    if (nextRead != null) {
      nextRead.cancel();
    }
    failWaiting(reason);
  }

  /** Fails the waiting callers, and is ready for the next incarnation of the records. */
  void suspend() {
    outstandingSince = null;
    stop(SUSPENDED);
    nextRead = null;
  }

  private void scheduleRead() {
    if (outstandingSince != null || nextRead != null || waiting.isEmpty()) {
      return;
    }
    Duration wait = lastSentAt.plus(minInterval).minus(loop.now());
    if (wait.isNegative() || wait.isZero()) {
      read();
    } else {
      nextRead = loop.schedule(wait, this::read);
    }
  }

  private void read() {
    nextRead = null;
    if (!rateLimiter.tryAcquireRead()) {
      nextRead = loop.schedule(minInterval, this::read);
      return;
    }
    long after = replica.revision();
    LastChange expected = history.lastChange();
    Read read = new Read(waiting, loop.now(), after, replica.generation(), expected);
    waiting = new ArrayList<>();
    outstandingSince = read.sentAt;
    lastSentAt = read.sentAt;
    client
        .readChanges(
            Records.PREFIX, expected == null ? after : expected.readFrom(after), Duration.ZERO)
        .whenComplete((changes, failure) -> receive(read, changes, failure));
  }

  private void receive(Read read, StateStoreProtocol.WatchResult changes, Throwable failure) {
    if (read.generation != replica.generation()) {
      failAll(read.callers, overtakenBySuspension());
      return;
    }
    outstandingSince = null;
    if (failure == null) {
      receive(read, changes);
    } else {
      // First, so that callers that fail now see a copy that is too old as not loaded.
      replica.handleReadFailure(failure, read.afterRevision);
      failAll(read.callers, failure);
      failWaiting("the state store does not answer");
    }
  }

  private void receive(Read read, StateStoreProtocol.WatchResult changes) {
    if (history.verifyShows(read.expected, changes)) {
      replica.apply(changes);
    }
    if (read.generation != replica.generation()) {
      failAll(read.callers, overtakenBySuspension());
      return;
    }
    confirm(read.sentAt);
    read.callers.forEach(caller -> caller.complete(null));
    scheduleRead();
  }

  private static void failAll(List<CompletableFuture<Void>> callers, Throwable failure) {
    callers.forEach(caller -> caller.completeExceptionally(failure));
  }

  private static StateStoreException overtakenBySuspension() {
    return notExecuted(SUSPENDED);
  }

  private static StateStoreException notExecuted(String reason) {
    return new StateStoreException(StateStoreException.Kind.NOT_EXECUTED, reason);
  }
}
