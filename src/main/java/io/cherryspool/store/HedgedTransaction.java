package io.cherryspool.store;

import io.cherryspool.http.Request;
import io.cherryspool.lifecycle.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A transaction that is sent a second time if it is not answered within a given time, because the
 * answer may be lost, and because the state store may delay a single transaction by seconds. At
 * most one copy is applied, since the conditions contain the versions of the keys that the
 * transaction changes. The copy that is answered first determines the result.
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
   * @param changeCount the number of changes in the request, for the rate limit
   */
  HedgedTransaction(
      StateStoreClient client, RateLimiter rateLimiter, Request request, int changeCount) {
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.request = request;
    this.changeCount = changeCount;
  }

  /**
   * Sends the first copy, and the second one if there is no answer after {@code hedgeAfter} and the
   * rate limit allows it.
   *
   * @return a future that completes with the first answer, and fails once all copies have failed.
   *     The failure says {@code OUTCOME_UNKNOWN} if any copy may have been executed.
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
      // An unknown outcome takes precedence: one copy that was not executed does not show that the
      // other one was not executed either.
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
