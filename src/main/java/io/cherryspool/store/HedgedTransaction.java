package io.cherryspool.store;

import io.cherryspool.http.Request;
import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A transaction that is sent a second time if it has no answer for a while: its answer may be lost,
 * or one transaction be delayed by seconds while others pass. At most one copy is applied, since
 * its conditions name the versions that it replaces. The first copy that is answered decides.
 */
final class HedgedTransaction {
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Request request;
  private final int changeCount;
  private final CompletableFuture<StateStoreClient.CommitResult> result = new CompletableFuture<>();
  private Throwable lastFailure;
  private int outstandingCopies;
  private EventLoop.Timer hedgeTimer;

  /**
   * Creates a transaction that is not sent yet.
   *
   * @param changeCount how many changes the request holds, for the rate limit
   */
  HedgedTransaction(
      StateStoreClient client, RateLimiter rateLimiter, Request request, int changeCount) {
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.request = request;
    this.changeCount = changeCount;
  }

  /**
   * Sends the first copy, and after a while the second one if the rate limit allows it.
   *
   * @return completes with the first answer; fails once all copies have failed, as not executed
   *     only if no copy may have been executed
   */
  CompletableFuture<StateStoreClient.CommitResult> send(EventLoop loop, Duration hedgeAfter) {
    sendCopy();
    hedgeTimer = loop.schedule(hedgeAfter, this::hedge);
    return result;
  }

  private void hedge() {
    if (!result.isDone() && rateLimiter.mayWrite(RateLimiter.WriteClass.CANCEL, 0, changeCount)) {
      rateLimiter.forceAcquire(changeCount);
      sendCopy();
    }
  }

  private void sendCopy() {
    outstandingCopies++;
    client.sendTransaction(request).whenComplete(this::receive);
  }

  private void receive(StateStoreClient.CommitResult answer, Throwable failure) {
    outstandingCopies--;
    if (failure == null) {
      result.complete(answer);
    } else if (lastFailure == null
        || StateStoreException.kindOf(failure) == StateStoreException.Kind.OUTCOME_UNKNOWN) {
      // That one copy was not executed says nothing of the other one.
      lastFailure = failure;
    }
    if (outstandingCopies == 0 && lastFailure != null) {
      result.completeExceptionally(lastFailure);
    }
    if (result.isDone() && hedgeTimer != null) {
      hedgeTimer.cancel();
    }
  }
}
