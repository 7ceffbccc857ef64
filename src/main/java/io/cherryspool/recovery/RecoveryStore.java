package io.cherryspool.recovery;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.store.Incarnation;
import io.cherryspool.store.KeyScan;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.Records;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.wire.StateStoreProtocol;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The state store as the recovery uses it: by the keys as the store has them, whatever the
 * incarnation. The rate limiter counts these requests and never delays them, because nothing else
 * goes on while records are lost. Confined to the event loop; futures fail as those of {@link
 * StateStoreClient} do.
 */
public final class RecoveryStore {
  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;

  /** A view of the store that {@code client} talks to, on the node's event loop. */
  public RecoveryStore(EventLoop loop, StateStoreClient client, RateLimiter rateLimiter) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
  }

  /** The client, for requests on the records of the present incarnation. */
  StateStoreClient client() {
    return client;
  }

  /** The rate limiter, for requests that may wait. */
  RateLimiter rateLimiter() {
    return rateLimiter;
  }

  /** The incarnation whose records this node loaded last; empty before the first. */
  Optional<Incarnation> loadedIncarnation() {
    return Optional.ofNullable(client.keySpace().incarnation());
  }

  /** Reads the incarnation's record. */
  CompletableFuture<StateStoreClient.IncarnationReading> readIncarnation() {
    rateLimiter.forceAcquire(0);
    return client.readIncarnation();
  }

  /**
   * Writes the incarnation's record.
   *
   * @param replacedVersion the version of the record that it replaces, 0 if there must be none
   */
  CompletableFuture<StateStoreClient.CommitResult> replaceIncarnation(
      Incarnation record, long replacedVersion) {
    return commit(
        replacedVersion,
        List.of(new StateStoreProtocol.Change(Incarnation.KEY, record.encode(), 0)));
  }

  /**
   * Commits changes of physical keys.
   *
   * @param incarnationVersion the version that the incarnation's record must have
   */
  CompletableFuture<StateStoreClient.CommitResult> commit(
      long incarnationVersion, List<StateStoreProtocol.Change> changes) {
    rateLimiter.forceAcquire(changes.size());
    return client.commitPhysical(Map.of(Incarnation.KEY, incarnationVersion), changes);
  }

  /** Reads the first page of all keys of the cluster. */
  CompletableFuture<StateStoreProtocol.KeyPage> readFirstPage() {
    rateLimiter.forceAcquire(0);
    return client.list(Records.PREFIX, null);
  }

  /** A scan, not yet started, of all keys of the cluster in every incarnation. */
  KeyScan scanAllKeys(Consumer<KeyScan.ScanResult> onDone) {
    return new KeyScan(loop, client, rateLimiter, Records.PREFIX, onDone);
  }
}
