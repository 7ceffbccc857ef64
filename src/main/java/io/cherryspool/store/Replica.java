package io.cherryspool.store;

import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.lifecycle.Lifecycle;
import io.cherryspool.wire.StateStoreProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's replica of the records. It loads the records of an incarnation and applies the
 * changes that {@link WatchStream} and {@link LinearizableReads} read, until it is suspended.
 *
 * <p>It loads at {@link #start}, or with rollback detection at {@link #switchTo}.
 */
public final class Replica extends IndexedRecords implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** Delay before rebuilt records, which this node must not serve, are read again. */
  private static final Duration REBUILT_RECORDS_RETRY_DELAY = Duration.ofSeconds(10);

  private enum LoadState {
    NOT_LOADED,
    LOADING,
    LOADED
  }

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final IncarnationHistory history;
  private final WatchStream watch;
  private final LinearizableReads reads;
  private final List<Runnable> changeListeners = new ArrayList<>();
  private Runnable firstLoadListener = () -> {};

  private boolean isRunning;
  private LoadState loadState = LoadState.NOT_LOADED;

  /** The load that was started last, null before the first one. */
  private ReplicaLoader loader;

  private EventLoop.Timer reloadTimer;
  private long revision;

  /** Counts suspensions; answers to requests from before a suspension are not applied. */
  private int generation;

  /**
   * Creates a replica that reads nothing before {@link #start}.
   *
   * @param minReadInterval the minimum time between two reads for {@link #refresh}
   * @param readOverdueAfter how long such a read may be unanswered before new calls fail at once
   */
  public Replica(
      EventLoop loop,
      StateStoreClient client,
      RateLimiter rateLimiter,
      Duration minReadInterval,
      Duration readOverdueAfter) {
    super(client.keySpace());
    this.loop = loop;
    this.client = client;
    this.rateLimiter = rateLimiter;
    this.history = new IncarnationHistory(client.keySpace(), index());
    this.watch = new WatchStream(loop, client, rateLimiter, this);
    this.reads =
        new LinearizableReads(
            loop, client, rateLimiter, this, history, minReadInterval, readOverdueAfter);
  }

  /** Sets a listener that runs once, after the first load of all records. */
  public void onFirstLoaded(Runnable listener) {
    firstLoadListener = listener;
  }

  /** Makes the replica check all answers against the known history. Call before {@link #start}. */
  public void enableRollbackDetection(RollbackDetector detector) {
    client.setRollbackDetector(detector);
    history.enable(detector);
  }

  @Override
  public void start() {
    isRunning = true;
    if (!history.isEnabled()) {
      load(ReplicaLoader.SINCE_FIRST_PAGE);
    }
  }

  /**
   * Loads the records of an incarnation and then follows their changes.
   *
   * @param version the version of the identity record
   * @param sinceRevision the revision at which the identity record was read
   */
  public void switchTo(Incarnation incarnation, long version, long sinceRevision) {
    suspend();
    client.keySpace().switchTo(incarnation, version);
    history.clear();
    revision = 0;
    load(sinceRevision);
  }

  /**
   * Stops following changes and fails waiting callers. The records are kept but count as not
   * loaded.
   */
  public void suspend() {
    cancelLoad();
    loadState = LoadState.NOT_LOADED;
    generation++;
    reads.suspend();
  }

  @Override
  public void stop() {
    isRunning = false;
    cancelLoad();
    reads.stop("the replica was stopped");
  }

  private void cancelLoad() {
    watch.close();
    if (loadState == LoadState.LOADING) {
      loader.cancel();
      loadState = LoadState.NOT_LOADED;
    }
    if (reloadTimer != null) {
      reloadTimer.cancel();
      reloadTimer = null;
    }
  }

  @Override
  public void onChange(Runnable listener) {
    changeListeners.add(listener);
  }

  @Override
  public boolean isLoaded() {
    return loadState == LoadState.LOADED;
  }

  /** Whether a load of all records is in progress. */
  public boolean isLoading() {
    return loadState == LoadState.LOADING;
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public CompletableFuture<Void> refresh() {
    return reads.refresh();
  }

  @Override
  public Duration lastConfirmedAt() {
    return reads.lastConfirmedAt();
  }

  @Override
  public boolean isReadOverdue() {
    return reads.isOverdue();
  }

  @Override
  public RecordsSnapshot snapshot() {
    return history.snapshot(revision);
  }

  @Override
  public List<StateStoreProtocol.Change> immutableRecordsSince(long afterRevision) {
    return history.immutableRecordsSince(afterRevision);
  }

  /** The number of suspensions so far. */
  int generation() {
    return generation;
  }

  /** Whether the answer to a poll that was sent in this generation may still be applied. */
  boolean isFollowing(int requestGeneration) {
    return isRunning && !isLoading() && requestGeneration == generation;
  }

  /** Applies the changes that are new. Batches of the watch and of reads may overlap. */
  void apply(StateStoreProtocol.WatchResult changes) {
    int generationBefore = generation;
    boolean hasChanged = false;
    for (StateStoreProtocol.Event event : changes.events()) {
      if (event.version() > revision) {
        apply(event);
        if (generationBefore != generation) {
          return;
        }
        hasChanged = true;
      }
    }
    revision = Math.max(revision, changes.revision());
    if (hasChanged) {
      changeListeners.forEach(Runnable::run);
    }
  }

  private void apply(StateStoreProtocol.Event event) {
    if (history.isEnabled()) {
      history.apply(event);
    } else if (Incarnation.isOfRebuild(event)) {
      rejectRebuiltRecords();
    } else {
      index().set(event);
    }
  }

  /**
   * Reacts to a failed read of changes.
   *
   * @param after the replica's revision when the read was sent
   */
  void handleReadFailure(Throwable failure, long after) {
    StateStoreException.Kind kind = StateStoreException.kindOf(failure);
    if (kind == StateStoreException.Kind.RATE_LIMITED) {
      rateLimiter.drain();
    } else if (kind == StateStoreException.Kind.GONE) {
      LastChange expected = history.lastChange();
      if (expected != null && expected.version() < revision) {
        history.dropLastChange();
      } else if (after == revision) {
        // If the revisions differ, a reload has already brought the replica past the compacted
        // changes. While another reload ran, the requests of all users would be refused.
        LOG.info("history compacted, reloading all keys, revision={}", revision);
        load(ReplicaLoader.SINCE_FIRST_PAGE);
      }
    }
  }

  private void load(long sinceRevision) {
    if (isLoading() || !isRunning) {
      return;
    }
    loadState = LoadState.LOADING;
    reads.failWaiting("all records are being reloaded");
    loader =
        new ReplicaLoader(
            loop, client, rateLimiter, () -> revision, sinceRevision, this::receiveLoad);
    loader.start();
  }

  private void receiveLoad(ReplicaLoader.LoadResult loaded) {
    loadState = LoadState.NOT_LOADED;
    Collection<StateStoreProtocol.Event> entries = loaded.entries().values();
    if (history.isEnabled()) {
      IncarnationRecords parsed = IncarnationRecords.parse(entries, client.keySpace());
      history
          .verifyLoad(parsed)
          .ifPresent(rebuilt -> replaceAll(loaded, rebuilt, parsed.records()));
    } else if (loaded.entries().containsKey(Incarnation.KEY)
        && Incarnation.isOfRebuild(loaded.entries().get(Incarnation.KEY))) {
      rejectRebuiltRecords();
    } else {
      replaceAll(loaded, List.of(), entries);
    }
  }

  /**
   * Suspends the replica. After a rebuild, a node without rollback detection must not serve: it
   * would read and change the records of an earlier incarnation.
   */
  private void rejectRebuiltRecords() {
    LOG.error("the records were rebuilt after a loss; this node needs recovery switched on");
    suspend();
    reloadTimer =
        loop.schedule(REBUILT_RECORDS_RETRY_DELAY, () -> load(ReplicaLoader.SINCE_FIRST_PAGE));
  }

  private void replaceAll(
      ReplicaLoader.LoadResult loaded,
      Collection<RecordsSnapshot.JobSnapshot> rebuilt,
      Collection<StateStoreProtocol.Event> records) {
    index().replaceAll(rebuilt, records);
    revision = loaded.revision();
    reads.confirm(loaded.sentAt());
    loadState = LoadState.LOADED;
    history.markIndexCurrent();
    LOG.info("records loaded, keys={} revision={}", loaded.entries().size(), revision);
    firstLoadListener.run();
    firstLoadListener = () -> {};
    history.reportLoaded();
    changeListeners.forEach(Runnable::run);
    watch.open();
  }
}
