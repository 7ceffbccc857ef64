package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;

/**
 * The long poll that keeps a {@link Replica} close to the end of the history. It ends itself when
 * the replica reloads, is suspended or stops, and has to be opened again afterwards.
 */
final class WatchStream {
  /** How long the state store holds a poll without changes. */
  static final Duration POLL_WAIT = Duration.ofSeconds(10);

  /** Pause before the next poll after an answer, so that a busy time costs few requests. */
  private static final Duration POLL_PAUSE = Duration.ofMillis(100);

  /** Pause before the next poll after a failure. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Replica replica;

  /** The next poll; null while one is outstanding or none is planned. */
  private EventLoop.Timer nextPoll;

  WatchStream(EventLoop loop, StateStoreClient client, RateLimiter rateLimiter, Replica replica) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.replica = replica;
  }

  /** Polls for changes after the replica's revision, again and again. */
  void open() {
    nextPoll = null;
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
    // A poll from before a reload may return beside the one that was opened after it.
    if (replica.isFollowing(generation) && nextPoll == null) {
      nextPoll = loop.schedule(failure == null ? POLL_PAUSE : RETRY_DELAY, this::open);
    }
  }

  /** Cancels the next poll. The answer of an outstanding one is left to the replica's state. */
  void close() {
    if (nextPoll != null) {
      nextPoll.cancel();
      nextPoll = null;
    }
  }
}
