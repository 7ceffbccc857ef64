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
 * This node's copy of the records, and its lifecycle: loading the records of an incarnation,
 * following their history by a {@link WatchStream} and {@link LinearizableReads}, and suspension
 * once they are not to be relied on.
 *
 * <p>Without rollback detection the copy loads at {@link #start} what it finds. With it, nothing is
 * read before {@link #enter} names the incarnation.
 */
public final class Replica extends IndexedRecords implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(Replica.class);

  /** How long to wait before reading records again that this node may not serve. */
  private static final Duration REFUSED_RECORDS_RETRY = Duration.ofSeconds(10);

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

  /** The load that was begun last, null before the first. */
  private ReplicaLoader loader;

  private EventLoop.Timer reloadTimer;
  private long revision;

  /** Counts suspensions, so that answers to requests from before one are not applied. */
  private int generation;

  /**
   * Creates a copy that reads nothing before {@link #start}.
   *
   * @param minReadInterval the least time between two reads for {@link #refresh}
   * @param readOverdueAfter how long such a read may be unanswered before callers are refused
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

  /** Sets what runs once, after all records were first read. */
  public void onFirstLoaded(Runnable listener) {
    firstLoadListener = listener;
  }

  /**
   * Checks every answer against the history that is known. To be called before {@link #start}; the
   * copy then reads nothing before {@link #enter}.
   */
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
   * Loads the records of an incarnation, and follows them from then on.
   *
   * @param version the version of the incarnation's record
   * @param since the revision at which that record was read
   */
  public void enter(Incarnation incarnation, long version, long since) {
    suspend();
    client.keySpace().enter(incarnation, version);
    history.clear();
    revision = 0;
    load(since);
  }

  /**
   * Stops following the history, and fails all waiting callers. The records stay as they are, but
   * count as not loaded.
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
    reads.stop("stopped");
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

  /** Whether all records are being read at the moment. */
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

  /** How often the copy was suspended. */
  int generation() {
    return generation;
  }

  /** Whether an answer to the watch still counts that was asked for in this generation. */
  boolean isFollowing(int since) {
    return isRunning && !isLoading() && since == generation;
  }

  /** Applies what is new of a batch. Batches of the watch and of reads may overlap. */
  void apply(StateStoreProtocol.WatchResult changes) {
    int before = generation;
    boolean hasChanged = false;
    for (StateStoreProtocol.Event event : changes.events()) {
      if (event.version() > revision) {
        apply(event);
        if (before != generation) {
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
      refuseRebuiltRecords();
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
        // An answer from before a reload shows a gap that was closed since. Another reload would
        // refuse all users for as long as it takes.
        LOG.info("history compacted, reading all keys again, revision={}", revision);
        load(ReplicaLoader.SINCE_FIRST_PAGE);
      }
    }
  }

  private void load(long since) {
    if (isLoading() || !isRunning) {
      return;
    }
    loadState = LoadState.LOADING;
    reads.failWaiting("reading all keys");
    loader = new ReplicaLoader(loop, client, rateLimiter, () -> revision, since, this::receiveLoad);
    loader.start();
  }

  private void receiveLoad(ReplicaLoader.Loaded all) {
    loadState = LoadState.NOT_LOADED;
    Collection<StateStoreProtocol.Event> entries = all.entries().values();
    if (history.isEnabled()) {
      IncarnationRecords read = IncarnationRecords.parse(entries, client.keySpace());
      history.verifyLoad(read).ifPresent(rebuilt -> replaceAll(all, rebuilt, read.records()));
    } else if (all.entries().containsKey(Incarnation.KEY)
        && Incarnation.isOfRebuild(all.entries().get(Incarnation.KEY))) {
      refuseRebuiltRecords();
    } else {
      replaceAll(all, List.of(), entries);
    }
  }

  /**
   * A node without rollback detection must not serve records after a rebuild: it would read and
   * change those of an incarnation that is over.
   */
  private void refuseRebuiltRecords() {
    LOG.error("the records were rebuilt after a loss; this node needs recovery switched on");
    suspend();
    reloadTimer = loop.schedule(REFUSED_RECORDS_RETRY, () -> load(ReplicaLoader.SINCE_FIRST_PAGE));
  }

  private void replaceAll(
      ReplicaLoader.Loaded all,
      Collection<RecordsSnapshot.JobSnapshot> rebuilt,
      Collection<StateStoreProtocol.Event> records) {
    index().replaceAll(rebuilt, records);
    revision = all.revision();
    reads.confirm(all.sentAt());
    loadState = LoadState.LOADED;
    history.markIndexCurrent();
    LOG.info("records loaded, keys={} revision={}", all.entries().size(), revision);
    firstLoadListener.run();
    firstLoadListener = () -> {};
    history.reportLoaded();
    changeListeners.forEach(Runnable::run);
    watch.open();
  }
}
