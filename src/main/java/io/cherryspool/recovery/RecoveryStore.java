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
 * The recovery's access to the state store, with the physical keys of any incarnation. The rate
 * limiter counts these requests but never delays them, because other work stops while records are
 * lost. Confined to the event loop. Futures fail like those of {@link StateStoreClient}.
 */
public final class RecoveryStore {
  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;

  /** Creates a view of the state store that uses {@code client}. */
  public RecoveryStore(EventLoop loop, StateStoreClient client, RateLimiter rateLimiter) {
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
  }

  /** The client, for requests on the records of the current incarnation. */
  StateStoreClient client() {
    return client;
  }

  /** The rate limiter, for requests that may be delayed. */
  RateLimiter rateLimiter() {
    return rateLimiter;
  }

  /** The incarnation that the replica entered last, empty before the first one. */
  Optional<Incarnation> loadedIncarnation() {
    return Optional.ofNullable(client.keySpace().incarnation());
  }

  /** Reads the identity record. */
  CompletableFuture<StateStoreClient.IncarnationReading> readIncarnation() {
    rateLimiter.forceAcquire(0);
    return client.readIncarnation();
  }

  /**
   * Replaces the identity record.
   *
   * @param replacedVersion the version of the record that is replaced, 0 if there must be no record
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
   * @param incarnationVersion the version that the identity record must have
   */
  CompletableFuture<StateStoreClient.CommitResult> commit(
      long incarnationVersion, List<StateStoreProtocol.Change> changes) {
    rateLimiter.forceAcquire(changes.size());
    return client.commitUnfenced(Map.of(Incarnation.KEY, incarnationVersion), changes);
  }

  /** Reads the first page of all keys of the cluster. */
  CompletableFuture<StateStoreProtocol.KeyPage> readFirstPage() {
    rateLimiter.forceAcquire(0);
    return client.listKeys(Records.PREFIX, null);
  }

  /** Creates a scan of all keys of the cluster, of every incarnation. The scan is not started. */
  KeyScan scanAllKeys(Consumer<KeyScan.ScanResult> onDone) {
    return new KeyScan(loop, client, rateLimiter, Records.PREFIX, onDone);
  }
}
