package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;

/**
 * Long polls for changes, which keep a {@link Replica} close to the newest revision. Polling ends
 * when the replica reloads, is suspended or stops; {@link #open} must then be called again.
 */
final class WatchStream {
  /** How long the state store waits for a change before it answers a poll. */
  static final Duration POLL_WAIT = Duration.ofSeconds(10);

  /**
   * Delay between an answer and the next poll, which limits the number of requests while there are
   * many changes.
   */
  private static final Duration POLL_PAUSE = Duration.ofMillis(100);

  /** Delay between a failure and the next poll. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;

  /** The timer of the next poll, null while a poll is outstanding or none is scheduled. */
  private EventLoop.Timer nextPollTimer;

  WatchStream(EventLoop loop, StateStoreClient client, RateLimiter rateLimiter, Replica replica) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
  }

  /** Starts polling repeatedly for changes after the replica's revision. */
  void open() {
    nextPollTimer = null;
    int generation = replica.generation();
    if (!replica.isFollowing(generation)) {
      return;
    }
    rateLimiter.forceAcquire(0);
    long after = replica.revision();
    client
        .readChanges(Records.PREFIX, after, POLL_WAIT)
        .whenComplete((changes, failure) -> receive(after, generation, changes, failure));
  }

  private void receive(
      long after, int generation, StateStoreProtocol.WatchResult changes, Throwable failure) {
    if (!replica.isFollowing(generation)) {
      return;
    }
    if (failure == null) {
      replica.apply(changes);
    } else {
      replica.handleReadFailure(failure, after);
    }
    // The next poll may be scheduled already: a poll that was sent before a reload may be answered
    // while the one that was opened after the reload is outstanding.
    if (replica.isFollowing(generation) && nextPollTimer == null) {
      nextPollTimer = loop.schedule(failure == null ? POLL_PAUSE : RETRY_DELAY, this::open);
    }
  }

  /**
   * Cancels the next poll. The answer to an outstanding poll is still applied if the replica is
   * following changes when it arrives.
   */
  void close() {
    if (nextPollTimer != null) {
      nextPollTimer.cancel();
      nextPollTimer = null;
    }
  }
}
